//! What the system adds to the latency of a call, against calling the stand-in directly.

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

/// Calls of each kind that are left out, then those that count.
const CALLS: (u32, u32) = (20, 500);

/// The path that look-ups are posted to at the stand-in.
const LOOKUP_PATH: &str = "/registry/lookup";

/// What is asked in every call.
const INPUT: &str = "roof 17";

/// Latencies of the three ways, in microseconds.
struct Ways {
    direct: Histogram<u64>,
    owner: Histogram<u64>,
    forwarded: Histogram<u64>,
}

/// Calls a service directly, through its program's owner, and through another instance, in turn,
/// one call at a time, each on a connection of its own; prints the latencies.
pub(crate) async fn compare() -> Result<()> {
    let bench = Bench::start(2).await?;
    let all = bench.add_programs(0..16, 100).await?;
    let programs = owned_elsewhere(&bench, &all).await?;
    let [first, second, ..] = programs.as_slice() else {
        return Err(eyre!("the second instance owns too few programs"));
    };
    let mut ways = Ways {
        direct: Histogram::new(3)?,
        owner: Histogram::new(3)?,
        forwarded: Histogram::new(3)?,
    };
    let service = bench.cluster.registry.address();
    let (entry, owner) = (bench.callers(0)?, bench.callers(1)?);
    for position in 1..=CALLS.0 + CALLS.1 {
        let direct = direct(service).await?;
        let owned = through(&bench, owner, first, position).await?;
        let forwarded = through(&bench, entry, second, position).await?;
        if position > CALLS.0 {
            ways.direct.record(direct)?;
            ways.owner.record(owned)?;
            ways.forwarded.record(forwarded)?;
        }
    }
    print("direct", &ways.direct);
    print("through the owner", &ways.owner);
    print("through another instance and the owner", &ways.forwarded);
    Ok(())
}

fn print(way: &str, latencies: &Histogram<u64>) {
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{way}: p50 {:.2} ms, p99 {:.2} ms, {} calls",
        ms(0.5),
        ms(0.99),
        latencies.len()
    );
}

async fn direct(service: SocketAddr) -> Result<u64> {
    let start = Instant::now();
    let stream = TcpStream::connect(service).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let body = Full::new(Bytes::from_static(INPUT.as_bytes()));
    let request = Request::post(LOOKUP_PATH).header("host", service.to_string());
    let answer = sender.send_request(request.body(body)?).await?;
    answer.into_body().collect().await?;
    let took = start.elapsed();
    driver.abort();
    Ok(took.as_micros() as u64)
}

async fn through(bench: &Bench, at: SocketAddr, program: &str, position: u32) -> Result<u64> {
    let call = caller::call_request(&format!("c{position}"), position, name::LOOKUP, INPUT);
    let start = Instant::now();
    let answer = bench.cluster.caller(0).call(at, program, &call).await;
    let took = start.elapsed();
    answer
        .result
        .map_err(|failure| eyre!("a call failed: {failure:?}"))?;
    Ok(took.as_micros() as u64)
}
