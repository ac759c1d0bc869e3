//! The bound on log lines.

use std::io::Write;
use std::sync::mpsc::sync_channel;

use super::BoundedWriter;

#[test]
fn lines_beyond_the_bound_are_counted_and_told() {
    let (tx, rx) = sync_channel(16);
    let mut writer = BoundedWriter::new(tx, 2);
    for _ in 0..5 {
        writer.write_all(b"x\n").unwrap();
    }
    assert_eq!(rx.try_iter().count(), 2);
    writer.second_began -= std::time::Duration::from_secs(1);
    writer.write_all(b"y\n").unwrap();
    let lines: Vec<Vec<u8>> = rx.try_iter().collect();
    assert_eq!(lines, [b"log: lines left out count=3\n".to_vec(), b"y\n".to_vec()]);
}

#[test]
fn a_reader_that_stands_still_blocks_nobody() {
    let (tx, _rx) = sync_channel(1);
    let mut writer = BoundedWriter::new(tx, 100);
    for _ in 0..50 {
        writer.write_all(b"x\n").unwrap();
    }
    assert_eq!(writer.left_out, 49);
}
