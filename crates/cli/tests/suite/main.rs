//! Runs the binary against a small server in the place of an instance.

mod command_line;
mod item;
mod operator;
mod program;
mod server;
mod sheet;
