//! Compares the latency of calls through the system with direct calls of the stand-in.

use std::net::SocketAddr;
use std::time::Instant;

use basilramp_fakes::caller;
use basilramp_fakes::cluster::name;
use bytes::Bytes;
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::bench::Bench;
use crate::measure::owned_elsewhere;

/// Number of warm-up calls per route, and of measured calls.
const CALLS: (u32, u32) = (20, 500);

/// Path of look-ups at the stand-in.
const LOOKUP_PATH: &str = "/registry/lookup";

/// Input of every call.
const INPUT: &str = "roof 17";

/// Latencies of the three routes, in microseconds.
struct RouteLatencies {
    direct: Histogram<u64>,
    owner: Histogram<u64>,
    forwarded: Histogram<u64>,
}

/// Prints the latencies of three routes: a direct call, a call through the program's owner, and a
/// call through another instance. Calls alternate, one at a time, each on its own connection.
pub(crate) async fn compare() -> Result<()> {
    let bench = Bench::start(2).await?;
    let all = bench.add_programs(0..16, 100).await?;
    let programs = owned_elsewhere(&bench, &all).await?;
    let [first, second, ..] = programs.as_slice() else {
        return Err(eyre!("the second instance owns too few programs"));
    };
    let mut latencies = RouteLatencies {
        direct: Histogram::new(3)?,
        owner: Histogram::new(3)?,
        forwarded: Histogram::new(3)?,
    };
    let service = bench.cluster.registry.address();
    let (entry, owner) = (bench.callers(0)?, bench.callers(1)?);
    for position in 1..=CALLS.0 + CALLS.1 {
        let direct = call_directly(service).await?;
        let owned = call_through(&bench, owner, first, position).await?;
        let forwarded = call_through(&bench, entry, second, position).await?;
        if position > CALLS.0 {
            latencies.direct.record(direct)?;
            latencies.owner.record(owned)?;
            latencies.forwarded.record(forwarded)?;
        }
    }
    print_latencies("direct", &latencies.direct);
    print_latencies("through the owner", &latencies.owner);
    print_latencies(
        "through another instance and the owner",
        &latencies.forwarded,
    );
    Ok(())
}

fn print_latencies(route: &str, latencies: &Histogram<u64>) {
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{route}: p50 {:.2} ms, p99 {:.2} ms, {} calls",
        ms(0.5),
        ms(0.99),
        latencies.len()
    );
}

async fn call_directly(service: SocketAddr) -> Result<u64> {
    let start = Instant::now();
    let stream = TcpStream::connect(service).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let body = Full::new(Bytes::from_static(INPUT.as_bytes()));
    let request = Request::post(LOOKUP_PATH).header("host", service.to_string());
    let response = sender.send_request(request.body(body)?).await?;
    response.into_body().collect().await?;
    let took = start.elapsed();
    driver.abort();
    Ok(took.as_micros() as u64)
}

async fn call_through(bench: &Bench, at: SocketAddr, program: &str, position: u32) -> Result<u64> {
    let call = caller::call_request(&format!("c{position}"), position, name::LOOKUP, INPUT);
    let start = Instant::now();
    let response = bench.cluster.caller(0).call(at, program, &call).await;
    let took = start.elapsed();
    response
        .result
        .map_err(|failure| eyre!("a call failed: {failure:?}"))?;
    Ok(took.as_micros() as u64)
}
