//! Instances.

use std::io::Write;

use basilramp_wire::operator::Instances;

use crate::client::Client;
use crate::config::OutputFormat;
use crate::error::Error;
use crate::output;

/// Lists the instances that the asked one knows.
pub(super) async fn list(
    client: &Client,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let answer: Instances = client.get("/v1/instances").await?;
    if output == OutputFormat::Json {
        return output::json(out, &answer.instances);
    }
    let header = [
        "ID",
        "FAILURE DOMAIN",
        "STATE",
        "INCARNATION",
        "PARTITIONS",
        "PEER ADDRESS",
    ];
    let rows = answer.instances.into_iter().map(|instance| {
        vec![
            instance.id,
            instance.failure_domain,
            instance.state,
            instance.incarnation.to_string(),
            instance.partitions.to_string(),
            instance.peer_address,
        ]
    });
    output::table(out, &header, rows.collect())
}
