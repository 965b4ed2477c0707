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
        Command::RunCall(call) => {
            return run_call::run(&Client::caller(connection)?, call, output, out).await;
        }
        Command::EndProgram { id } => {
            return program::end(&Client::caller(connection)?, id, output, out).await;
        }
        _ => {}
    }
    let client = Client::operator(connection)?;
    match &config.command {
        Command::Item(kind, item) => item::run(&client, *kind, item, output, out).await,
        Command::ImportPlans(import) => import::run(&client, import, output, out).await,
        Command::ListUpstreams => upstream::list(&client, output, out).await,
        Command::SendOrder { upstream, order } => {
            upstream::order(&client, upstream, order, output, out).await
        }
        Command::ListInstances => instance::list(&client, output, out).await,
        Command::ShowConfig => version::show(&client, output, out).await,
        Command::ConfigLog { after } => version::log(&client, *after, output, out).await,
        Command::ConfigDiff { from, to } => version::diff(&client, *from, *to, output, out).await,
        Command::ShowProgram { id } => program::show(&client, id, output, out).await,
        Command::SettleCall(settle) => program::settle(&client, settle, output, out).await,
        Command::RunCall(_) | Command::EndProgram { .. } => Ok(()),
    }
}
