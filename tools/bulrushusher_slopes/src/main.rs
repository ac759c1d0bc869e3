//! Measures how state, time and messages grow with size, at three sizes each, with a straight-line
//! fit: `cargo run --release -p bulrushusher_slopes`. docs/CAPACITY.md is worked out from these.

mod fit;
mod messages;
mod state;

fn main() {
    println!("| what | unit | at sizes | fit |\n| --- | --- | --- | --- |");
    for slope in state::all().into_iter().chain(messages::all()) {
        println!("{slope}");
    }
}
