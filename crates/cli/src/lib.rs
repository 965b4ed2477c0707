//! Commands of the `basilramp` client, independent of argument parsing.
//!
//! [`run`] executes the command of a [`Config`] and writes its results to any [`Write`].
//!
//! [`Write`]: std::io::Write

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
    ApplyArgs, CallArgs, ChangeOptions, CheckArgs, Command, Config, Connection, DeleteArgs,
    ImportArgs, ItemCommand, OutputFormat, Secret, SettleArgs,
};
pub use error::Error;
