//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{Write, stdout};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to a file, with the time since its creation. In a runner's process it writes them without
/// it to the standard output, for the record of the process that started it.
pub struct Record {
    began: Instant,
    file: Option<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Some(Mutex::new(File::create(path)?)) })
    }

    pub fn of_child() -> Record {
        Record { began: Instant::now(), file: None }
    }

    pub fn line(&self, text: &str) {
        match &self.file {
            Some(file) => {
                let at = self.began.elapsed().as_secs_f64();
                writeln!(file.lock().unwrap(), "{at:9.3} s  {text}").ok();
            }
            None => {
                let mut out = stdout().lock();
                writeln!(out, "{text}").and_then(|()| out.flush()).ok();
            }
        }
    }
}
