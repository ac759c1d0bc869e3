//! Stand-ins and checks of the review's cases, on `std` alone.

mod http;
mod leaving_runner;
mod platform;
mod process;
mod record;
mod runner;
mod second_answer;
mod stopped_run;
mod store;

use std::thread;
use std::time::Duration;

/// Exit codes of a case.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const CANNOT_RUN: i32 = 2;

/// Time after which a case gives up; its processes end with it.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        std::process::exit(CANNOT_RUN);
    });
    let case = std::env::args().nth(1).unwrap_or_default();
    let id = std::env::args().nth(2).unwrap_or_default();
    let code = match case.as_str() {
        "decode-runner" => leaving_runner::serve_runs(&id),
        "leaving-runner" => leaving_runner::run(),
        "stopped-run" => stopped_run::run(),
        "second-answer" => second_answer::run(),
        other => {
            eprintln!("no case `{other}`");
            CANNOT_RUN
        }
    };
    std::process::exit(code);
}
