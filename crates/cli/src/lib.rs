//! What `basilramp` does, free of its command line.
//!
//! [`run`] takes a plain [`Config`] and writes to any output.

mod change;
mod client;
mod command;
mod config;
mod error;
mod output;
mod progress;
mod replay;
mod sheet;
mod stream;
mod utc;

pub use command::run;
pub use config::{
    ApplyArgs, CallArgs, ChangeOptions, Command, Config, Connection, DeleteArgs, ImportArgs,
    ItemCommand, OutputFormat, Secret, SettleArgs,
};
pub use error::Error;
