//! Plays one case of the review: `review-standin CASE RECORD FOLDER TROUBLE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod balancer;
mod cases;
mod client;
mod http;
mod leaf;
mod tier;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use world::World;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, data, record, folder, trouble] = args.as_slice() else {
        eprintln!("usage: review-standin CASE DATA RECORD FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let world = Arc::new(World::new(Path::new(data)));
    let (folder, trouble) = (Path::new(folder), trouble != "0");
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "evacuation" => cases::evacuation::play(&world, folder, trouble),
        "memory" => cases::memory::play(&world, folder, trouble),
        "poison" => cases::poison::play(&world, folder, trouble),
        "zone-back" => cases::zone_back::play(&world, folder, trouble),
        other => Err(format!("there is no case `{other}`")),
    });
    world.over.store(true, Ordering::Relaxed);
    let (text, code) = match result {
        Ok(Ok((broken, text))) => (text, u8::from(broken)),
        Ok(Err(text)) => (format!("the case could not run: {text}"), 2),
        Err(_) => ("the case could not run: a stand-in failed".to_owned(), 2),
    };
    println!("{text}");
    world.note(text);
    world.write_record(Path::new(record));
    ExitCode::from(code)
}
