//! Implements the commands, one module per kind of object.

mod apply;
mod config;
mod config_check;
mod import;
mod instance;
mod item;
mod program;
mod run_call;
mod upstream;

use std::io::Write;

use crate::client::Client;
use crate::config::{Command, Config};
use crate::error::Error;

/// Runs a command and writes its results to `out`.
///
/// # Errors
///
/// Returns an [`Error`] whose exit code tells whether the request was executed.
pub async fn run(config: &Config, out: &mut impl Write) -> Result<(), Error> {
    let (connection, format) = (&config.connection, config.output);
    match &config.command {
        Command::CheckConfig(args) => return config_check::run(args, format, out),
        Command::RunCall(args) => {
            return run_call::run(&Client::for_callers(connection)?, args, format, out).await;
        }
        Command::EndProgram { id } => {
            return program::end(&Client::for_callers(connection)?, id, format, out).await;
        }
        _ => {}
    }
    let client = Client::for_operators(connection)?;
    match &config.command {
        Command::Item(kind, command) => item::run(&client, *kind, command, format, out).await,
        Command::ImportPlans(args) => import::run(&client, args, format, out).await,
        Command::ListUpstreams => upstream::list(&client, format, out).await,
        Command::SendOrder { upstream, order } => {
            upstream::order(&client, upstream, order, format, out).await
        }
        Command::ListInstances => instance::list(&client, format, out).await,
        Command::ShowConfig => config::show(&client, format, out).await,
        Command::ConfigLog { after } => config::log(&client, *after, format, out).await,
        Command::ConfigDiff { from, to } => config::diff(&client, *from, *to, format, out).await,
        Command::ShowProgram { id } => program::show(&client, id, format, out).await,
        Command::SettleCall(args) => program::settle(&client, args, format, out).await,
        Command::CheckConfig(_) | Command::RunCall(_) | Command::EndProgram { .. } => Ok(()),
    }
}
