//! Loads the settings file named on the command line and runs the server that it describes.

use std::fs;
use std::path::PathBuf;

use basilramp_daemon::{Settings, run_daemon};
use basilramp_ingress as ingress;
use basilramp_settings::has_section;
use clap::ArgMatches;
use eyre::{Report, WrapErr, eyre};

/// Reason for a non-zero exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The settings are invalid or can't be read.
    Settings(Report),
    /// The instance failed to start or stopped on an error.
    Run(Report),
}

/// Loads the settings and runs the daemon or the ingress; with `--check`, only loads them.
///
/// # Errors
///
/// Fails if the settings are invalid, or if the instance can't start or stops on an error.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let deployment = load_settings(matches).map_err(Failure::Settings)?;
    if matches.get_flag("check") {
        println!("settings are in order");
        return Ok(());
    }
    match deployment {
        Deployment::Daemon(settings) => run_daemon(*settings),
        Deployment::Ingress(settings) => ingress::run(*settings),
    }
    .map_err(Failure::Run)
}

/// The server that the settings describe: a file with an `ingress` section selects the ingress.
enum Deployment {
    /// The daemon with its own callers' API.
    Daemon(Box<Settings>),
    /// The ingress, which serves on the users' platform.
    Ingress(Box<ingress::Settings>),
}

fn load_settings(matches: &ArgMatches) -> Result<Deployment, Report> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .ok_or_else(|| eyre!("no settings file given"))?;
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    let deployment = if has_section(&text, "ingress") {
        ingress::Settings::parse(&text).map(|settings| Deployment::Ingress(Box::new(settings)))
    } else {
        Settings::parse(&text).map(|settings| Deployment::Daemon(Box::new(settings)))
    };
    deployment.wrap_err_with(|| path.display().to_string())
}
