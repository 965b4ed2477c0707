//! Checks the records of callers and upstreams against the guarantees.

use std::collections::BTreeMap;
use std::fmt;

use basilramp_fakes::user_platform::RequestRecord;
use http::StatusCode;

use super::caller::{BUDGET, Kind, MAX_OUTPUT, Record};
use crate::support::EVENT_TOKENS;

/// Statuses that guarantee that the request did not run and never will.
const NOT_RUN: [StatusCode; 7] = [
    StatusCode::UNAUTHORIZED,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::PAYMENT_REQUIRED,
    StatusCode::NOT_FOUND,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// Counts of injected faults and of outcomes over all seeds.
#[derive(Debug, Default)]
pub(super) struct Coverage {
    pub(super) faults: BTreeMap<&'static str, u32>,
    outcomes: BTreeMap<(Kind, String), u32>,
}

impl Coverage {
    pub(super) fn record(&mut self, records: &[Record]) {
        for record in records {
            let outcome = match &record.reply {
                None => "no response".to_owned(),
                Some(reply) if !reply.is_complete => "truncated".to_owned(),
                Some(reply) => reply.status.as_str().to_owned(),
            };
            *self.outcomes.entry((record.kind, outcome)).or_default() += 1;
        }
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, count) in &self.faults {
            writeln!(f, "{count:6} {name}")?;
        }
        for ((kind, outcome), count) in &self.outcomes {
            writeln!(f, "{count:6} {kind:?} {outcome}")?;
        }
        Ok(())
    }
}

/// Returns a line for each violation of a guarantee.
pub(super) fn find_violations(
    records: &[Record],
    runs: &BTreeMap<String, Vec<RequestRecord>>,
) -> Vec<String> {
    let each = records.iter().filter_map(|record| {
        let ran = runs.get(&record.attempt).map_or(&[][..], Vec::as_slice);
        find_violation(record, ran)
            .map(|violation| format!("{}: {violation}: {record:?} ran {ran:?}", record.attempt))
    });
    each.chain(overspent_programs(records))
        .chain(runs.values().flatten().filter_map(find_leak))
        .collect()
}

/// Returns a line for a request with which its upstream received more than the name of an account.
fn find_leak(run: &RequestRecord) -> Option<String> {
    (run.has_key || !run.forged_headers.is_empty()).then(|| format!("received a key: {run:?}"))
}

fn find_violation(record: &Record, ran: &[RequestRecord]) -> Option<&'static str> {
    let may_repeat = matches!(record.kind, Kind::Read | Kind::Advice);
    if !may_repeat && ran.len() > 1 {
        return Some("ran more than once");
    }
    if ran.len() > 2 {
        return Some("ran on more upstreams than allowed");
    }
    if ran.iter().any(|run| run.body != record.body) {
        return Some("ran with another body");
    }
    if ran
        .iter()
        .any(|run| run.account.as_deref() != record.account)
    {
        return Some("ran with another account");
    }
    let is_continued = ran.iter().any(|run| run.last_event.is_some());
    if is_continued && ran.iter().any(|run| run.version != ran[0].version) {
        return Some("went on at another software version");
    }
    let reply = record.reply.as_ref()?;
    if NOT_RUN.contains(&reply.status) && !ran.is_empty() {
        return Some("ran, but its status says that it did not");
    }
    if reply.status == StatusCode::NOT_FOUND && record.previous.is_some() {
        return Some("got 404, but the response of its previous turn was complete");
    }
    if reply.status != StatusCode::OK {
        return None;
    }
    if reply.header("attempt-id") != Some(&record.attempt) {
        return Some("got the response of another request");
    }
    if reply.header("server-signature").is_none() {
        return Some("got a response without the signature of an upstream");
    }
    let is_stream = matches!(record.kind, Kind::Advice | Kind::Chat);
    if is_stream && !is_in_order(&reply.body, reply.is_complete) {
        return Some("got a stream with missing, repeated or reordered events");
    }
    None
}

/// Returns whether a complete stream has its three events in order, or an incomplete one a prefix
/// of them.
fn is_in_order(body: &str, is_complete: bool) -> bool {
    let all: Vec<_> = (1..=3)
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    let whole = all.concat();
    if is_complete {
        body == whole
    } else {
        whole.starts_with(body)
    }
}

/// Returns a line for each program that received more tokens than its budget plus the maximum
/// output of one turn.
fn overspent_programs(records: &[Record]) -> impl Iterator<Item = String> {
    let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records.iter().filter(|record| record.kind == Kind::Advice) {
        let body = record.reply.as_ref().map_or("", |reply| &reply.body);
        let events = body.matches("data:").count() as u64;
        *tokens.entry(&record.program).or_default() += events * EVENT_TOKENS;
    }
    let over = tokens
        .into_iter()
        .filter(|(_, tokens)| *tokens > BUDGET + MAX_OUTPUT);
    let over: Vec<_> = over
        .map(|(id, tokens)| format!("{id} received {tokens} tokens"))
        .collect();
    over.into_iter()
}
