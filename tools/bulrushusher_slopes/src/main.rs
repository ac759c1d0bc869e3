//! Measures how memory, time and message sizes scale: each quantity is measured at four sizes and
//! fitted with a straight line. docs/CAPACITY.md is calculated from the results.
//!
//! `cargo run --release -p bulrushusher_slopes`

mod fit;
mod messages;
mod state;

use std::process::Command;

fn main() -> std::io::Result<()> {
    // With an argument, takes one measurement; without, starts a process for each.
    if let Some(number) = std::env::args().nth(1) {
        let measure = number.parse().ok().and_then(|n: usize| state::ALL.get(n));
        if let Some(measure) = measure {
            println!("{}", measure());
        }
        return Ok(());
    }
    println!("| what | unit | at sizes | fit |\n| --- | --- | --- | --- |");
    for number in 0..state::ALL.len() {
        let output = Command::new(std::env::current_exe()?).arg(number.to_string()).output()?;
        print!("{}", String::from_utf8_lossy(&output.stdout));
    }
    for measurement in messages::all() {
        println!("{measurement}");
    }
    Ok(())
}
