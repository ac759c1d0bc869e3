//! The entry: callers' HTTP, operators' RPC, choice of runners.
fn main() {}
