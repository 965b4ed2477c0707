//! The `instance` commands.

use std::io::Write;

use basilramp_wire::operator::Instances;

use crate::client::Client;
use crate::config::OutputFormat;
use crate::error::Error;
use crate::output;

/// Lists the instances known to the instance that handles the request.
pub(super) async fn list(
    client: &Client,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let response: Instances = client.get("/v1/instances").await?;
    if format == OutputFormat::Json {
        return output::write_json(out, &response.instances);
    }
    let header = [
        "ID",
        "FAILURE DOMAIN",
        "STATE",
        "INCARNATION",
        "PARTITIONS",
        "PEER ADDRESS",
    ];
    let rows = response.instances.into_iter().map(|instance| {
        vec![
            instance.id,
            instance.failure_domain,
            instance.state,
            instance.incarnation.to_string(),
            instance.partitions.to_string(),
            instance.peer_address,
        ]
    });
    output::write_table(out, &header, rows.collect())
}
