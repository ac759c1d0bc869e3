//! The stand-ins of the cases of the second review, and the cases' order of events.

mod case_forwarded_promise;
mod case_header_limit;
mod case_revoked_key;
mod case_start_time;
mod http;
mod runner;
mod site;
mod store;

use std::process::ExitCode;

use site::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(dir)) = (args.get(1), args.get(2)) else {
        eprintln!("give a case and the folder of its record");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let outcome = match case.as_str() {
        "header-limit" => case_header_limit::run(&record, has_trouble),
        "revoked-key" => case_revoked_key::run(&record, has_trouble),
        "start-time" => case_start_time::run(&record, has_trouble),
        "forwarded-promise" => case_forwarded_promise::run(&record, has_trouble),
        other => Err(format!("there is no case {other}").into()),
    };
    let code = match outcome {
        Ok(Outcome::Held) => {
            record.line("the rule held");
            0
        }
        Ok(Outcome::Broken) => {
            record.line("the rule is broken");
            1
        }
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            2
        }
    };
    record.save(dir);
    ExitCode::from(code)
}
