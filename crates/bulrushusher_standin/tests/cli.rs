//! The command line validates settings before it starts anything.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bulrush-standin");
const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../assets/quickstart/standin.ini");

fn check(file: &std::path::Path) -> Output {
    let mut command = Command::new(PROGRAM);
    command
        .args(["run", "--check-config", "--config"])
        .arg(file)
        .output()
        .expect("the program starts")
}

#[test]
fn the_sample_settings_are_good() {
    let output = check(SAMPLE.as_ref());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn a_bad_setting_is_named_with_its_remedy() {
    let file = std::env::temp_dir().join(format!("bulrush-standin-{}.ini", std::process::id()));
    let sample = std::fs::read_to_string(SAMPLE).expect("the sample file can be read");
    std::fs::write(&file, sample + "\n[engine]\nplace = 3\n").expect("the file can be written");
    let output = check(&file);
    std::fs::remove_file(&file).expect("the file can be removed");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("[engine] place is not a setting"), "{message}");
}
