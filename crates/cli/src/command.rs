//! Runs commands, one module for each noun.

mod apply;
mod import;
mod instance;
mod item;
mod program;
mod run_call;
mod upstream;
mod version;

use std::io::Write;

use crate::client::Client;
use crate::config::{Command, Config};
use crate::error::Error;

/// Runs a command and writes its results to `out`.
///
/// # Errors
///
/// Fails as [`Error`] says; its exit code tells what became of the request.
pub async fn run(config: &Config, out: &mut impl Write) -> Result<(), Error> {
    let (connection, output) = (&config.connection, config.output);
    match &config.command {
        Command::Call(call) => {
            return run_call::run(&Client::caller(connection)?, call, output, out).await;
        }
        Command::End { id } => {
            return program::end(&Client::caller(connection)?, id, output, out).await;
        }
        _ => {}
    }
    let client = Client::operator(connection)?;
    match &config.command {
        Command::Item(kind, item) => item::run(&client, *kind, item, output, out).await,
        Command::Import(import) => import::run(&client, import, output, out).await,
        Command::Upstreams => upstream::list(&client, output, out).await,
        Command::Order { upstream, order } => {
            upstream::order(&client, upstream, order, output, out).await
        }
        Command::Instances => instance::list(&client, output, out).await,
        Command::Snapshot => version::show(&client, output, out).await,
        Command::Log { after } => version::log(&client, *after, output, out).await,
        Command::Diff { from, to } => version::diff(&client, *from, *to, output, out).await,
        Command::Program { id } => program::show(&client, id, output, out).await,
        Command::Settle(settle) => program::settle(&client, settle, output, out).await,
        Command::Call(_) | Command::End { .. } => Ok(()),
    }
}
