//! Turns the command line into the daemon's settings and runs it.

use std::fs;
use std::path::PathBuf;

use basilramp_daemon::{Settings, run_daemon};
use basilramp_ingress as ingress;
use basilramp_settings::has_section;
use clap::ArgMatches;
use eyre::{Report, WrapErr, eyre};

/// Why the daemon ended without success.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The settings are faulty or can't be read.
    Settings(Report),
    /// The instance could not start or run on.
    Run(Report),
}

/// Runs what the command line asks for.
///
/// # Errors
///
/// Fails if the settings are faulty or the daemon can't start.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let deployment = load_settings(matches).map_err(Failure::Settings)?;
    if matches.get_flag("check") {
        println!("settings are in order");
        return Ok(());
    }
    match deployment {
        Deployment::Daemon(settings) => run_daemon(*settings),
        Deployment::Ingress(settings) => ingress::run(settings),
    }
    .map_err(Failure::Run)
}

/// Which interface the settings describe.
enum Deployment {
    /// The project's own.
    Daemon(Box<Settings>),
    /// The users' platform.
    Ingress(ingress::Settings),
}

fn load_settings(matches: &ArgMatches) -> Result<Deployment, Report> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .ok_or_else(|| eyre!("no settings file given"))?;
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    let deployment = if has_section(&text, "ingress") {
        ingress::Settings::parse(&text).map(Deployment::Ingress)
    } else {
        Settings::parse(&text).map(|settings| Deployment::Daemon(Box::new(settings)))
    };
    deployment.wrap_err_with(|| path.display().to_string())
}
