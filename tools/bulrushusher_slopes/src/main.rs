//! Measures how state, time and messages grow with size, at several sizes each, with a straight-line
//! fit: `cargo run --release -p bulrushusher_slopes`. docs/CAPACITY.md is worked out from these.

mod fit;
mod messages;
mod state;

use std::process::Command;

fn main() -> std::io::Result<()> {
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
    for slope in messages::all() {
        println!("{slope}");
    }
    Ok(())
}
