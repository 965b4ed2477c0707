//! `program run`: runs a call and streams its response.

use std::io::{Read, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use basilramp_wire::api::{self, Event, FinalEvent, Program};

use crate::client::Client;
use crate::config::{CallArgs, OutputFormat};
use crate::error::Error;
use crate::progress::Progress;

/// Runs a call, in a new program unless `args` names one.
///
/// A new program is ended afterwards if the outcome of the call is known.
pub(super) async fn run(
    client: &Client,
    args: &CallArgs,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let input = read_input(&args.input)?;
    let request_id = args.request_id.clone().unwrap_or_else(generate_request_id);
    let (program, position) = prepare_program(client, args, &request_id).await?;
    let body = api::Call {
        request_id: request_id.clone(),
        position,
        service: args.service.clone(),
        input,
        max_tokens: args.max_tokens,
        provisional: false,
    };
    let hint = format!(
        "to get its outcome, run the same command again with --program {program} \
         --position {position} --request-id {request_id}"
    );
    let result = stream_events(client, &program, &body, &hint, format, out).await;
    if args.program.is_none() && !args.keep_running && is_outcome_known(&result) {
        let path = format!("/v1/programs/{program}/end");
        client.post::<Program>(&path, &(), &hint).await?;
    }
    result
}

/// Returns whether the outcome of the call is known, so that its program can be ended.
fn is_outcome_known(result: &Result<(), Error>) -> bool {
    match result {
        Ok(()) => true,
        Err(Error::Rejected(error)) => error.ran != basilramp_wire::error::Executed::Unknown,
        Err(_) => false,
    }
}

/// Returns the program id and position of the call. Creates a program if `args` names none.
async fn prepare_program(
    client: &Client,
    args: &CallArgs,
    request_id: &str,
) -> Result<(String, u32), Error> {
    let Some(program) = &args.program else {
        let create = api::CreateProgram {
            request_id: request_id.to_owned(),
            budget: Some(args.budget),
            parent: None,
        };
        let hint =
            format!("retry with --request-id {request_id}; it does not create a second program");
        let program: Program = client.post("/v1/programs", &create, &hint).await?;
        return Ok((program.id, args.position.unwrap_or(0)));
    };
    if let Some(position) = args.position {
        return Ok((program.clone(), position));
    }
    let response: Program = client.get(&format!("/v1/programs/{program}")).await?;
    Ok((response.id, response.next_position))
}

async fn stream_events(
    client: &Client,
    program: &str,
    body: &api::Call,
    hint: &str,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let path = format!("/v1/programs/{program}/calls");
    let mut progress = Some(Progress::start("waiting for the first token"));
    let mut events = client.stream(&path, body, hint).await?;
    let mut streamed = false;
    loop {
        let event = events.next().await?;
        drop(progress.take());
        if format == OutputFormat::Json {
            write_json_line(&event, out)?;
        }
        match event {
            Event::Token(token) if format == OutputFormat::Table => {
                streamed = true;
                out.write_all(token.text.as_bytes())?;
                out.flush()?;
            }
            Event::Token(_) => {}
            Event::Final(event) => {
                if format == OutputFormat::Table {
                    write_final(&event, streamed, out)?;
                }
                return Ok(());
            }
            Event::Error(error) => {
                if streamed {
                    writeln!(out)?;
                }
                return Err(Error::Rejected(error));
            }
        }
    }
}

fn write_json_line(event: &Event, out: &mut impl Write) -> Result<(), Error> {
    serde_json::to_writer(&mut *out, event).map_err(std::io::Error::from)?;
    writeln!(out)?;
    out.flush()?;
    Ok(())
}

/// Writes the output if it was not streamed, then the position and token usage of the call.
fn write_final(event: &FinalEvent, streamed: bool, out: &mut impl Write) -> Result<(), Error> {
    if !streamed {
        out.write_all(event.output.as_bytes())?;
    }
    let usage = event.usage;
    writeln!(out)?;
    writeln!(out)?;
    writeln!(out, "program   {}", event.program)?;
    writeln!(out, "position  {}", event.position)?;
    let recorded = if event.recorded {
        " (recorded before)"
    } else {
        ""
    };
    let (prompt, cached, output) = (usage.prompt, usage.cached, usage.output);
    writeln!(
        out,
        "tokens    {prompt} prompt, {cached} of them cached, {output} output{recorded}"
    )?;
    Ok(())
}

fn read_input(input: &str) -> Result<String, Error> {
    if input != "-" {
        return Ok(input.to_owned());
    }
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.map_err(|error| Error::invalid_input("standard input", error))?;
    Ok(text)
}

/// Generates a request id from the process id and the current time.
fn generate_request_id() -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = elapsed.map_or(0, |elapsed| elapsed.as_nanos());
    format!("cli-{}-{nanos}", std::process::id())
}
