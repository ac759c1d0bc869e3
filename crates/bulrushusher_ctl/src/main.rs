//! bulrushctl: the operators' command.
fn main() {}
