//! Runs the `basilramp` binary against an HTTP server that stands in for an instance.

mod command_line;
mod config_check;
mod fake_config;
mod item;
mod program;
mod server;
mod sheet;
