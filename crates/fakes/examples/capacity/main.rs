//! Measures how an instance's costs grow, and prints the slopes for docs/CAPACITY.md.
//!
//! `cargo run --release --example capacity`
//!
//! Each slope comes from at least four sizes, with real instances as processes on loopback and
//! the stand-ins of this package. The whole run takes some minutes.

mod bench;
mod fit;
#[path = "../shared/instance.rs"]
mod instance;
mod latency;
mod measure;
mod usage;

use std::process::ExitCode;

use eyre::Result;

use fit::Series;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("capacity: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    if instance::run_if_asked()? {
        return Ok(());
    }
    let only = std::env::args().nth(1);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure_all(only.as_deref()))
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
    if wanted("tokens") {
        print(&measure::tokens().await?);
    }
    if wanted("upstreams") {
        print(&measure::upstreams().await?);
    }
    if wanted("changes") {
        print(&measure::changes().await?);
    }
    if wanted("latency") {
        latency::compare().await?;
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
