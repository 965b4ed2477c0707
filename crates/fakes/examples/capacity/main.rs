//! Measures how the resource usage of an instance grows, and prints the slopes for docs/CAPACITY.md.
//!
//! `cargo run --release --example capacity`
//!
//! Each slope is fitted to at least four sizes. Instances run as processes on loopback, with the
//! stand-ins of this package. A full run takes some minutes.

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
    if instance::run_if_requested()? {
        return Ok(());
    }
    let only = std::env::args().nth(1);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure_all(only.as_deref()))
}

/// Runs all measurements, or only the named one.
async fn measure_all(only: Option<&str>) -> Result<()> {
    let is_selected = |name: &str| only.is_none_or(|only| only == name);
    if is_selected("instances") {
        print_series(&measure::instances().await?);
    }
    if is_selected("programs") {
        print_series(&measure::programs().await?);
    }
    if is_selected("calls") {
        print_series(&measure::calls().await?);
    }
    if is_selected("tokens") {
        print_series(&measure::tokens().await?);
    }
    if is_selected("upstreams") {
        print_series(&measure::upstreams().await?);
    }
    if is_selected("changes") {
        print_series(&measure::changes().await?);
    }
    if is_selected("latency") {
        latency::compare().await?;
    }
    if is_selected("takeover") {
        print_series(&measure::takeover().await?);
    }
    Ok(())
}

fn print_series(series: &[Series]) {
    for series in series {
        println!("{series}");
    }
}
