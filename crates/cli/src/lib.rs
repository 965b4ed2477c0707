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
    Apply, Call, Command, Config, Connection, Delete, Import, Item, Operation, Output, Secret,
    Settle,
};
pub use error::Error;
