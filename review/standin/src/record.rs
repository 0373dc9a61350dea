//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {}\n", text.as_ref());
        let mut file = self.file.lock().expect("the lock is sound");
        if let Err(error) = file.write_all(line.as_bytes()) {
            eprintln!("the record can't be written: {error}");
        }
    }
}
