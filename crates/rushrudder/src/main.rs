//! The program: roles of the system and commands for operators.
fn main() {}
