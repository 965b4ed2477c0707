//! What `basilramp` does, free of its command line.
//!
//! [`run`] takes a plain [`Config`] and writes to any output.

mod change_log;
mod client;
mod command;
mod config;
mod difference;
mod error;
mod event_stream;
mod output;
mod progress;
mod sheet;
mod timestamp;

pub use command::run;
pub use config::{
    ApplyArgs, CallArgs, ChangeOptions, Command, Config, Connection, DeleteArgs, ImportArgs,
    ItemCommand, OutputFormat, Secret, SettleArgs,
};
pub use error::Error;
