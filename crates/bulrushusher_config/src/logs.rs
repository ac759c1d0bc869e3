//! Logs of daemons: a bounded number of lines, written by a thread of their own.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

/// Lines that wait for a slow reader of the output; what comes beyond is counted and left out.
const WAITING_LINES: usize = 4_096;

/// Starts logging to standard error; `RUST_LOG` sets the level, `info` by default.
pub fn init_logs() {
    builder().format_timestamp_millis().init();
}

/// Starts logging to standard output, at most `lines_per_second`, without ever blocking the
/// caller. What is left out is counted and told once a second.
pub fn init_bounded_logs(lines_per_second: usize) {
    let (tx, rx) = sync_channel(WAITING_LINES);
    std::thread::spawn(move || write_lines(&rx));
    let writer = BoundedWriter::new(tx, lines_per_second);
    let target = env_logger::Target::Pipe(Box::new(writer));
    builder().format_timestamp_millis().target(target).init();
}

fn builder() -> env_logger::Builder {
    let env = env_logger::Env::default().default_filter_or("info,jsonrpsee_server=warn");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format_target(false);
    builder
}

/// Takes lines until its second is used up.
struct BoundedWriter {
    tx: SyncSender<Vec<u8>>,
    lines_per_second: usize,
    second_began: Instant,
    lines: usize,
    left_out: usize,
}

impl BoundedWriter {
    fn new(tx: SyncSender<Vec<u8>>, lines_per_second: usize) -> BoundedWriter {
        BoundedWriter { tx, lines_per_second, second_began: Instant::now(), lines: 0, left_out: 0 }
    }

    fn begin_second(&mut self) {
        if self.second_began.elapsed().as_secs() == 0 {
            return;
        }
        self.second_began = Instant::now();
        self.lines = 0;
        if self.left_out > 0 {
            let line = format!("log: lines left out count={}\n", self.left_out);
            if self.tx.try_send(line.into_bytes()).is_ok() {
                self.left_out = 0;
            }
        }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.begin_second();
        self.lines += 1;
        let is_left_out = self.lines > self.lines_per_second;
        if is_left_out || self.tx.try_send(line.to_vec()).is_err() {
            self.left_out += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes what waits in one go. Ends when the output is closed: nobody reads the lines then.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(mut batch) = rx.recv() {
        while let Ok(line) = rx.try_recv() {
            batch.extend_from_slice(&line);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

#[cfg(test)]
#[path = "../tests/bounded_logs/mod.rs"]
mod tests;
