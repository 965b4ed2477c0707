//! Runs the binary against a small server in the place of an instance.

mod command_line;
mod fake_config;
mod item;
mod program;
mod server;
mod sheet;
