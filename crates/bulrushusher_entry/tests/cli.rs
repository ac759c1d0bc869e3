//! Tests of the command line: settings are validated before the program starts.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bulrush-entry");
const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../assets/quickstart/entry.ini");

fn check(file: &std::path::Path) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(["--check-config", "--config"]).arg(file).output().expect("the program starts")
}

#[test]
fn the_sample_settings_are_valid() {
    let output = check(SAMPLE.as_ref());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn an_invalid_setting_is_reported_with_its_remedy() {
    let file = std::env::temp_dir().join(format!("bulrush-entry-{}.ini", std::process::id()));
    let sample = std::fs::read_to_string(SAMPLE).expect("the sample file exists");
    std::fs::write(&file, sample + "\n[routing]\npolicy = best\n").expect("the file is written");
    let output = check(&file);
    std::fs::remove_file(&file).expect("the file is removed");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("[routing] policy is `best`; give one of round-robin"), "{message}");
}
