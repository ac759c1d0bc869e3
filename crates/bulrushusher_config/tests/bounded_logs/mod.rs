//! The rate limit and the queue limit of log lines.

use std::io::Write;
use std::sync::mpsc::sync_channel;

use super::RateLimitedWriter;

#[test]
fn lines_above_the_rate_limit_are_dropped_and_the_count_is_logged() {
    let (tx, rx) = sync_channel(16);
    let mut writer = RateLimitedWriter::new(tx, 2);
    for _ in 0..5 {
        writer.write_all(b"x\n").unwrap();
    }
    assert_eq!(rx.try_iter().count(), 2);
    writer.window_start -= std::time::Duration::from_secs(1);
    writer.write_all(b"y\n").unwrap();
    let lines: Vec<Vec<u8>> = rx.try_iter().collect();
    assert_eq!(lines, [b"log: lines left out count=3\n".to_vec(), b"y\n".to_vec()]);
}

#[test]
fn a_stalled_output_does_not_block_logging() {
    let (tx, _rx) = sync_channel(1);
    let mut writer = RateLimitedWriter::new(tx, 100);
    for _ in 0..50 {
        writer.write_all(b"x\n").unwrap();
    }
    assert_eq!(writer.dropped, 49);
}
