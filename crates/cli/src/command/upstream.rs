//! The `upstream` commands.

use std::io::Write;

use basilramp_wire::engine::Order;
use basilramp_wire::operator::{IssuedOrder, Upstreams};

use crate::client::Client;
use crate::config::OutputFormat;
use crate::error::Error;
use crate::output;

/// Advice to the user if the response to an order is lost.
const ORDER_HINT: &str = "see `basilramp upstream list` for what the upstream has loaded";

/// Lists the upstreams known to the instance that handles the request.
pub(super) async fn list(
    client: &Client,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let response: Upstreams = client.get("/v1/upstreams").await?;
    if format == OutputFormat::Json {
        return output::write_json(out, &response.upstreams);
    }
    let header = [
        "ID", "ROLE", "PLACE", "STATE", "RUNNING", "SLOTS", "HOME", "ADDRESS", "MODELS",
    ];
    let rows = response.upstreams.into_iter().map(|upstream| {
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
    output::write_table(out, &header, rows.collect())
}

/// Sends an order to an upstream.
pub(super) async fn order(
    client: &Client,
    upstream: &str,
    order: &Order,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let path = format!("/v1/upstreams/{upstream}/orders");
    let ordered: IssuedOrder = client.post(&path, order, ORDER_HINT).await?;
    match format {
        OutputFormat::Json => output::write_json(out, &ordered),
        OutputFormat::Table => {
            writeln!(out, "order sent with fencing number {}", ordered.fencing)?;
            Ok(())
        }
    }
}
