//! `program show`, `program end` and `program settle`.

use std::io::Write;

use basilramp_wire::api::Program;
use basilramp_wire::frame::Settlement;

use crate::client::Client;
use crate::config::{OutputFormat, SettleArgs};
use crate::error::Error;
use crate::output;

/// Advice to the user if the response about a program is lost. `end` and `settle` are idempotent.
const PROGRAM_RETRY_HINT: &str =
    "see `basilramp program show`, or retry: the command is safe to repeat";

/// Maximum length of the input and output cells, in characters.
const MAX_CELL_CHARS: usize = 40;

/// Writes a program and its turns.
pub(super) async fn show(
    client: &Client,
    id: &str,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let program: Program = client.get(&format!("/v1/programs/{id}")).await?;
    write_program(&program, format, out)
}

/// Ends a program.
pub(super) async fn end(
    client: &Client,
    id: &str,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let path = format!("/v1/programs/{id}/end");
    let program: Program = client.post(&path, &(), PROGRAM_RETRY_HINT).await?;
    write_program(&program, format, out)
}

/// Settles a call in doubt.
pub(super) async fn settle(
    client: &Client,
    args: &SettleArgs,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let settlement = Settlement {
        position: args.position,
        ran: args.executed,
        output: args.response.clone(),
        reason: args.reason.clone(),
    };
    let path = format!("/v1/programs/{}/settle", args.program);
    let program: Program = client.post(&path, &settlement, PROGRAM_RETRY_HINT).await?;
    write_program(&program, format, out)
}

fn write_program(
    program: &Program,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    if format == OutputFormat::Json {
        return output::write_json(out, program);
    }
    writeln!(out, "program   {}", program.id)?;
    if let Some(parent) = &program.parent {
        writeln!(out, "parent    {parent}")?;
    }
    writeln!(out, "state     {}", program.state)?;
    let budget = &program.budget;
    writeln!(out, "tokens    {} of {}", program.spent, budget.tokens)?;
    writeln!(out, "turns     {} of {}", program.turns.len(), budget.turns)?;
    writeln!(out)?;
    let rows = program.turns.iter().map(|turn| {
        vec![
            turn.position.to_string(),
            turn.service.clone(),
            turn.state.clone(),
            turn.usage.prompt.to_string(),
            turn.usage.cached.to_string(),
            turn.usage.output.to_string(),
            truncate(&turn.input),
            truncate(&turn.output),
        ]
    });
    let header = [
        "TURN", "SERVICE", "STATE", "PROMPT", "CACHED", "OUTPUT", "ASKED", "ANSWERED",
    ];
    output::write_table(out, &header, rows.collect())
}

/// Joins the text into one line and cuts it to [`MAX_CELL_CHARS`].
fn truncate(text: &str) -> String {
    let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
    if line.chars().count() <= MAX_CELL_CHARS {
        return line;
    }
    let prefix: String = line.chars().take(MAX_CELL_CHARS - 1).collect();
    format!("{prefix}…")
}
