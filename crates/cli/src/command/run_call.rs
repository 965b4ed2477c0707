//! Runs a call from the terminal and streams its answer.

use std::io::{Read, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use basilramp_wire::api::{self, Event, Final, Program};

use crate::client::Client;
use crate::config::{CallArgs, OutputFormat};
use crate::error::Error;
use crate::progress::Progress;

/// Runs a call, in a new program unless one is named.
pub(super) async fn run(
    client: &Client,
    call: &CallArgs,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let input = read_input(&call.input)?;
    let request_id = call.request_id.clone().unwrap_or_else(make_request_id);
    let (program, position) = find_program(client, call, &request_id).await?;
    let body = api::Call {
        request_id: request_id.clone(),
        position,
        service: call.service.clone(),
        input,
        max_tokens: call.max_tokens,
        provisional: false,
    };
    let hint = format!(
        "to get its outcome, run the same command again with --program {program} \
         --position {position} --request-id {request_id}"
    );
    let outcome = stream(client, &program, &body, &hint, output, out).await;
    if call.program.is_none() && !call.keep_running && is_over(&outcome) {
        let path = format!("/v1/programs/{program}/end");
        client.post::<Program>(&path, &(), &hint).await?;
    }
    outcome
}

/// Tells whether the call's outcome is known, so that its program may be ended.
fn is_over(outcome: &Result<(), Error>) -> bool {
    match outcome {
        Ok(()) => true,
        Err(Error::Rejected(error)) => error.ran != basilramp_wire::error::Ran::Unknown,
        Err(_) => false,
    }
}

/// Returns the program to call and the call's place in it.
async fn find_program(
    client: &Client,
    call: &CallArgs,
    request_id: &str,
) -> Result<(String, u32), Error> {
    let Some(program) = &call.program else {
        let create = api::Create {
            request_id: request_id.to_owned(),
            budget: Some(call.budget),
            parent: None,
        };
        let hint = format!("try again with --request-id {request_id}: it makes no second program");
        let program: Program = client.post("/v1/programs", &create, &hint).await?;
        return Ok((program.id, call.position.unwrap_or(0)));
    };
    if let Some(position) = call.position {
        return Ok((program.clone(), position));
    }
    let found: Program = client.get(&format!("/v1/programs/{program}")).await?;
    Ok((found.id, found.next_position))
}

async fn stream(
    client: &Client,
    program: &str,
    body: &api::Call,
    hint: &str,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let path = format!("/v1/programs/{program}/calls");
    let mut progress = Some(Progress::open("waiting for the first token"));
    let mut events = client.stream(&path, body, hint).await?;
    let mut streamed = false;
    loop {
        let event = events.next().await?;
        drop(progress.take());
        if output == OutputFormat::Json {
            write_json_line(&event, out)?;
        }
        match event {
            Event::Token(token) if output == OutputFormat::Table => {
                streamed = true;
                out.write_all(token.text.as_bytes())?;
                out.flush()?;
            }
            Event::Token(_) => {}
            Event::Final(last) => {
                if output == OutputFormat::Table {
                    write_final(&last, streamed, out)?;
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

/// Ends the answer's line and writes what the call used.
fn write_final(last: &Final, streamed: bool, out: &mut impl Write) -> Result<(), Error> {
    if !streamed {
        out.write_all(last.output.as_bytes())?;
    }
    let usage = last.usage;
    writeln!(out)?;
    writeln!(out)?;
    writeln!(out, "program   {}", last.program)?;
    writeln!(out, "position  {}", last.position)?;
    let recorded = if last.recorded {
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
    read.map_err(|error| Error::input("standard input", error))?;
    Ok(text)
}

/// Makes up an id that no other run uses.
fn make_request_id() -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = elapsed.map_or(0, |elapsed| elapsed.as_nanos());
    format!("cli-{}-{nanos}", std::process::id())
}
