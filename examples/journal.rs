//! Measures the latency of synced appends to a journal, and the time to read it back:
//! `cargo run --release --example journal -- FOLDER`.

use anyhow::{Context as _, Result};
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;
use wisteriahead::util::disk::{DataFolder, Journal};

/// Payload of each record.
const RECORD: [u8; 200] = [7; 200];
/// Number of synced batches for each batch size.
const ROUNDS: u32 = 500;

fn main() -> Result<()> {
    let root =
        std::env::args().nth(1).context("missing argument FOLDER: an empty folder to write to")?;
    let disk = Arc::new(DataFolder::open(Path::new(&root))?);
    for batch in [1, 10, 100] {
        let name = format!("batch{batch}");
        let mut journal = Journal::open(disk.clone(), &name)?.journal;
        let mut times = Vec::new();
        for _ in 0..ROUNDS {
            let start = Instant::now();
            for _ in 0..batch {
                journal.append(&RECORD)?;
            }
            journal.sync()?;
            times.push(start.elapsed().as_micros());
        }
        times.sort_unstable();
        drop(journal);
        let start = Instant::now();
        let read = Journal::open(disk.clone(), &name)?.records.len();
        let (p50, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
        let open = start.elapsed().as_micros();
        println!("batch of {batch}: p50 {p50} us, p99 {p99} us; {read} records read in {open} us");
    }
    Ok(())
}
