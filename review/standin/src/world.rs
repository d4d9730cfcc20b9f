//! What all stand-ins of a case share: the clock, the record, the wire's names and the templates.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

pub struct World {
    start: Instant,
    data: PathBuf,
    names: HashMap<String, String>,
    templates: Mutex<HashMap<String, String>>,
    record: Mutex<Vec<(Duration, String)>>,
    pub over: AtomicBool,
    next: AtomicU64,
}

impl World {
    pub fn new(data: &Path) -> Self {
        let text = fs::read_to_string(data.join("names.txt")).expect("names.txt");
        let pairs = text.lines().filter(|l| !l.starts_with('#')).filter_map(|l| l.split_once('='));
        let names = pairs.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned())).collect();
        Self {
            start: Instant::now(),
            data: data.to_owned(),
            names,
            templates: Mutex::default(),
            record: Mutex::default(),
            over: AtomicBool::new(false),
            next: AtomicU64::new(1),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Name of the platform's wire.
    pub fn name(&self, key: &str) -> &str {
        self.names.get(key).unwrap_or_else(|| panic!("names.txt lacks {key}"))
    }

    /// Template of that name, with `@key@` replaced.
    pub fn fill(&self, template: &str, values: &[(&str, &str)]) -> String {
        let mut text = {
            let mut templates = self.templates.lock().unwrap();
            let read = || fs::read_to_string(self.data.join(template)).expect(template);
            templates.entry(template.to_owned()).or_insert_with(read).clone()
        };
        for (key, value) in values {
            text = text.replace(&format!("@{key}@"), value);
        }
        text.trim().to_owned()
    }

    /// A number that was not given before, for identifiers.
    pub fn unique(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn note(&self, text: impl Into<String>) {
        let now = self.now();
        self.record.lock().unwrap().push((now, text.into()));
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn write_record(&self, path: &Path) {
        let mut all = self.record.lock().unwrap();
        all.sort_by_key(|(at, _)| *at);
        let lines = all.iter().map(|(at, text)| format!("{:9.3} {text}\n", at.as_secs_f64()));
        fs::write(path, lines.collect::<String>()).expect("record.txt");
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
