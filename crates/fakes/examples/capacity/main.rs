//! Measures how an instance's costs grow, and prints the slopes for docs/CAPACITY.md.
//!
//! `cargo run --release --example capacity`
//!
//! Each slope comes from at least four sizes, with real instances as processes on loopback and
//! the stand-ins of this package. The whole run takes some minutes.

mod bench;
mod fit;
mod measure;
mod usage;

use std::ffi::OsString;
use std::process::ExitCode;

use basilramp_daemon::{Settings, run_daemon};
use eyre::Result;

use fit::Series;

/// The argument that makes this program an instance of the daemon.
pub(crate) const INSTANCE: &str = "--instance";

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("capacity: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[OsString]) -> Result<()> {
    if let [first, settings] = arguments
        && first == INSTANCE
    {
        let text = std::fs::read_to_string(settings)?;
        return run_daemon(Settings::parse(&text)?);
    }
    let only = arguments.first().and_then(|name| name.to_str());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure_all(only))
}

/// Runs every measurement, or the one that was named.
async fn measure_all(only: Option<&str>) -> Result<()> {
    let wanted = |name: &str| only.is_none_or(|only| only == name);
    if wanted("instances") {
        print(&measure::instances().await?);
    }
    if wanted("programs") {
        print(&measure::programs().await?);
    }
    if wanted("calls") {
        print(&measure::calls().await?);
    }
    if wanted("upstreams") {
        print(&measure::upstreams().await?);
    }
    if wanted("changes") {
        print(&measure::changes().await?);
    }
    if wanted("takeover") {
        print(&measure::takeover().await?);
    }
    Ok(())
}

fn print(series: &[Series]) {
    for one in series {
        println!("{one}");
    }
}
