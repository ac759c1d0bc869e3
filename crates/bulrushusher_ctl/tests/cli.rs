//! Exit codes of `bulrushctl`, and validation of files before any call is made.

use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bulrushctl");
const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../assets/quickstart/closing.ini");
/// An address that refuses connections.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";

fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM).args(args).output().expect("bulrushctl starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn an_unreachable_entry_is_exit_code_4() {
    let (code, message) = run(&["--entry", CLOSED_ADDRESS, "status"]);
    assert_eq!(code, Some(4), "{message}");
    assert!(message.contains("check --entry"), "{message}");
}

#[test]
fn the_sample_closing_is_valid() {
    let desired = bulrushusher_ctl::read_desired(SAMPLE.as_ref()).expect("the sample is valid");
    assert_eq!(desired.closings[0].classes.len(), 2);
    assert_eq!((desired.endpoints.len(), desired.accounts.len()), (3, 1));
}

#[test]
fn an_invalid_file_is_exit_code_2_and_names_the_section() {
    let file = std::env::temp_dir().join(format!("bulrushctl-{}.ini", std::process::id()));
    std::fs::write(&file, "[account studio-7]\nburst = 4\n").expect("the file is written");
    let path = file.display().to_string();
    let (code, message) = run(&["--entry", CLOSED_ADDRESS, "apply", "-f", &path]);
    std::fs::remove_file(&file).expect("the file is removed");
    assert_eq!(code, Some(2));
    assert!(message.contains("[account studio-7] requests_per_second is missing"), "{message}");
}

#[test]
fn invalid_settings_are_exit_code_2() {
    let file = std::env::temp_dir().join(format!("bulrushctl-{}-s.ini", std::process::id()));
    let path = file.display().to_string();
    let check = |text: &str| {
        std::fs::write(&file, text).expect("the file is written");
        run(&["--config", &path, "--check-config"])
    };
    assert_eq!(check("[operator]\nentry = 127.0.0.1:7200\n").0, Some(0));
    let (code, message) = check("[operator]\nentry = here\n");
    std::fs::remove_file(&file).expect("the file is removed");
    assert_eq!(code, Some(2));
    assert!(message.contains("[operator] entry is `here`; give IP:port"), "{message}");
}

#[tokio::test]
async fn losses_counts_outcomes_and_unusable_lines() {
    let logs = concat!(env!("CARGO_MANIFEST_DIR"), "/../bulrushusher_losses/tests/logs");
    let (first, second) = (format!("{logs}/gateway-1.log"), format!("{logs}/gateway-2.log"));
    let run = async |args: &[&str]| {
        let all = ["bulrushctl", "losses"].iter().chain(args);
        let matches = bulrushusher_ctl::command().get_matches_from(all);
        bulrushusher_ctl::execute(&matches).await
    };
    let table = run(&[&first, &second]).await.expect("the logs are readable");
    assert!(
        table.contains("digest") && table.contains("foreign 2, cut 1, left out by gateways 12")
    );
    let json = run(&[&first, &second, "--by", "cause", "--output", "json"]).await;
    let rows: serde_json::Value =
        serde_json::from_str(&json.expect("the logs are readable")).expect("JSON");
    let late = rows
        .as_array()
        .expect("the output is an array")
        .iter()
        .find(|r| r["name"] == "digest: late by reading");
    assert_eq!(late.expect("the row exists")["late"], 1);
    let missing = run(&["no-such-file.log"]).await.expect_err("the file does not exist");
    assert_eq!(missing.exit_code(), bulrushusher_ctl::EXIT_USAGE);
}

/// Serves `text` to every HTTP request.
fn serve_metrics(text: &'static str) -> std::net::SocketAddr {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut buf = [0; 1_024];
            let read = stream.read(&mut buf).expect("the request is readable");
            assert!(buf[..read].starts_with(b"GET /metrics"));
            let length = text.len();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}")
                .expect("the response is written");
        }
    });
    address
}

#[test]
fn quotas_merges_the_metrics_of_gateways() {
    let first = serve_metrics(
        "# TYPE bulrush_gateway_account gauge\n\
         bulrush_gateway_account{account=\"studio-7\",gateway=\"g1\",what=\"used\"} 900\n\
         bulrush_gateway_account{account=\"studio-7\",gateway=\"g1\",what=\"quota\"} 1000\n\
         bulrush_gateway_account{account=\"studio-7\",gateway=\"g1\",what=\"worst_window\"} 950\n\
         bulrush_gateway_account{account=\"studio-7\",gateway=\"g1\",what=\"refused\"} 300\n\
         bulrush_gateway_state{what=\"runners\"} 4\n",
    );
    let second = serve_metrics(
        "bulrush_gateway_account{account=\"studio-7\",gateway=\"g2\",what=\"used\"} 910\n\
         bulrush_gateway_account{account=\"studio-7\",gateway=\"g2\",what=\"refused\"} 30\n\
         bulrush_gateway_account{account=\"studio-8\",gateway=\"g2\",what=\"used\"} 5\n",
    );
    let args = ["--output", "json", "quotas", &first.to_string(), &second.to_string()];
    let output = Command::new(PROGRAM).args(args).output().expect("bulrushctl starts");
    let rows: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let expected = serde_json::json!([
        {"account": "studio-7", "used": 910, "quota": 1000, "worst_window": 950, "refused": 330},
        {"account": "studio-8", "used": 5, "quota": 0, "worst_window": 0, "refused": 0},
    ]);
    assert_eq!(rows, expected);
    let (code, message) = run(&["quotas", CLOSED_ADDRESS]);
    assert_eq!(code, Some(4), "{message}");
    assert!(message.contains("give a gateway's metrics address"), "{message}");
}

#[test]
fn gateways_shows_a_row_for_each_gateway() {
    let first = serve_metrics(
        "# TYPE bulrush_gateway_state gauge\n\
         bulrush_gateway_state{gateway=\"g1\",what=\"runners\"} 12\n\
         bulrush_gateway_state{gateway=\"g1\",what=\"runner_list_age_ms\"} 140\n\
         bulrush_gateway_state{gateway=\"g1\",what=\"evacuated_data_centres\"} 1\n\
         bulrush_gateway_state{gateway=\"g1\",what=\"cold_runners\"} 2\n\
         bulrush_gateway_state{gateway=\"g1\",what=\"limited_runners\"} 0\n\
         bulrush_gateway_state{gateway=\"g1\",what=\"leaving_runners\"} 3\n\
         bulrush_gateway_residency_refusals_total{gateway=\"g1\"} 4\n\
         bulrush_gateway_retries_total{gateway=\"g1\"} 7\n\
         bulrush_gateway_resumed_streams_total{gateway=\"g1\",outcome=\"own_record\"} 5\n\
         bulrush_gateway_resumed_streams_total{gateway=\"g1\",outcome=\"peer\"} 2\n\
         bulrush_gateway_resumed_streams_total{gateway=\"g1\",outcome=\"no_runner\"} 1\n\
         bulrush_gateway_resumed_streams_total{gateway=\"g1\",outcome=\"unknown_version\"} 3\n",
    );
    let second = serve_metrics("bulrush_gateway_state{what=\"runners\"} 11\nnot a metric\n");
    let args = ["--output", "json", "gateways", &first.to_string(), &second.to_string()];
    let output = Command::new(PROGRAM).args(args).output().expect("bulrushctl starts");
    let rows: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let expected = serde_json::json!([
        {
            "gateway": first.to_string(), "runners": 12, "list_age_ms": 140, "evacuated": 1,
            "cold": 2, "limited": 0, "leaving": 3, "residency_refusals": 4, "retries": 7,
            "streams_resumed": 7, "streams_refused": 4,
        },
        {
            "gateway": second.to_string(), "runners": 11, "list_age_ms": null, "evacuated": null,
            "cold": null, "limited": null, "leaving": null, "residency_refusals": 0, "retries": 0,
            "streams_resumed": 0, "streams_refused": 0,
        },
    ]);
    assert_eq!(rows, expected);
    let (code, message) = run(&["gateways", CLOSED_ADDRESS]);
    assert_eq!(code, Some(4), "{message}");
}

#[test]
fn quarantine_shows_the_keys_that_gateways_refuse() {
    let part = "part:00000000000000ff";
    let first = serve_metrics(
        "bulrush_gateway_quarantine_ms{gateway=\"g1\",keys=\"part:00000000000000ff\"} 90500\n\
         bulrush_gateway_quarantine_ms{gateway=\"g1\",keys=\"request:0000000000000001\"} 0\n",
    );
    let second = serve_metrics(
        "bulrush_gateway_quarantine_ms{gateway=\"g2\",keys=\"part:00000000000000ff\"} 90100\n",
    );
    let args = ["--output", "json", "quarantine", &first.to_string(), &second.to_string()];
    let output = Command::new(PROGRAM).args(args).output().expect("bulrushctl starts");
    let rows: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let expected = serde_json::json!([{"keys": part, "gateways": 2, "remaining_s": 91}]);
    assert_eq!(rows, expected, "a quarantine that has ended is not shown");
    let (code, message) = run(&["quarantine", CLOSED_ADDRESS]);
    assert_eq!(code, Some(4), "{message}");
}
