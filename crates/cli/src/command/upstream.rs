//! Upstreams and their orders.

use std::io::Write;

use basilramp_wire::engine::Order;
use basilramp_wire::operator::{Ordered, Upstreams};

use crate::client::Client;
use crate::config::OutputFormat;
use crate::error::Error;
use crate::output;

/// What to do after a lost answer to an order.
const ORDER_HINT: &str = "see `basilramp upstream list` for what the upstream has loaded";

/// Lists the upstreams that the asked instance knows.
pub(super) async fn list(
    client: &Client,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let answer: Upstreams = client.get("/v1/upstreams").await?;
    if output == OutputFormat::Json {
        return output::json(out, &answer.upstreams);
    }
    let header = [
        "ID", "ROLE", "PLACE", "STATE", "RUNNING", "SLOTS", "HOME", "ADDRESS", "MODELS",
    ];
    let rows = answer.upstreams.into_iter().map(|upstream| {
        vec![
            upstream.id,
            upstream.role,
            upstream.place,
            upstream.state,
            upstream.running.to_string(),
            upstream.slots.to_string(),
            upstream.home,
            upstream.address,
            upstream.models.join(" "),
        ]
    });
    output::table(out, &header, rows.collect())
}

/// Sends an upstream an order.
pub(super) async fn order(
    client: &Client,
    upstream: &str,
    order: &Order,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let path = format!("/v1/upstreams/{upstream}/orders");
    let ordered: Ordered = client.post(&path, order, ORDER_HINT).await?;
    match output {
        OutputFormat::Json => output::json(out, &ordered),
        OutputFormat::Table => {
            writeln!(out, "ordered, with fencing number {}", ordered.fencing)?;
            Ok(())
        }
    }
}
