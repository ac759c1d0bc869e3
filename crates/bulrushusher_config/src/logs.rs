//! Logging of daemons: rate-limited, and written by a separate thread.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

/// Capacity of the queue between loggers and the writer thread, in lines. Lines beyond it are
/// dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Starts logging to standard error; `RUST_LOG` sets the level, `info` by default.
pub fn init_logs() {
    builder().format_timestamp_millis().init();
}

/// Starts logging to standard output, at most `lines_per_second`, without ever blocking the thread
/// that logs. Dropped lines are counted; the count is logged at most once a second.
pub fn init_bounded_logs(lines_per_second: usize) {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&rx));
    let writer = RateLimitedWriter::new(tx, lines_per_second);
    let target = env_logger::Target::Pipe(Box::new(writer));
    builder().format_timestamp_millis().target(target).init();
}

fn builder() -> env_logger::Builder {
    let env = env_logger::Env::default().default_filter_or("info,jsonrpsee_server=warn");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format_target(false);
    builder
}

/// Queues lines for the writer thread; drops and counts those above the rate limit or the queue's
/// capacity.
struct RateLimitedWriter {
    tx: SyncSender<Vec<u8>>,
    lines_per_second: usize,
    window_start: Instant,
    lines_in_window: usize,
    dropped: usize,
}

impl RateLimitedWriter {
    fn new(tx: SyncSender<Vec<u8>>, lines_per_second: usize) -> RateLimitedWriter {
        RateLimitedWriter {
            tx,
            lines_per_second,
            window_start: Instant::now(),
            lines_in_window: 0,
            dropped: 0,
        }
    }

    fn start_window_if_due(&mut self) {
        if self.window_start.elapsed().as_secs() == 0 {
            return;
        }
        self.window_start = Instant::now();
        self.lines_in_window = 0;
        if self.dropped > 0 {
            let line = format!("log: lines left out count={}\n", self.dropped);
            if self.tx.try_send(line.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.start_window_if_due();
        self.lines_in_window += 1;
        let is_over_limit = self.lines_in_window > self.lines_per_second;
        if is_over_limit || self.tx.try_send(line.to_vec()).is_err() {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to standard output in batches. Returns when the output is closed, because
/// nothing reads it any more.
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
