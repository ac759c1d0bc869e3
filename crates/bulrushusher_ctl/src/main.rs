//! `bulrushctl`: manages closings, endpoints and client accounts, drains endpoints and shows the
//! status of entries.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = bulrushusher_ctl::command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("bulrushctl: {e}");
            return ExitCode::from(bulrushusher_ctl::EXIT_FAILED);
        }
    };
    match runtime.block_on(bulrushusher_ctl::execute(&matches)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("bulrushctl: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
