//! The promises, held against what callers and upstreams saw.

use std::collections::BTreeMap;
use std::fmt;

use basilramp_fakes::user_platform::RequestRecord;
use http::StatusCode;

use super::caller::{BUDGET, Kind, MOST, Record};
use crate::support::EVENT_TOKENS;

/// Statuses that promise that the request did not run and never will.
const NOT_RUN: [StatusCode; 6] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::PAYMENT_REQUIRED,
    StatusCode::NOT_FOUND,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// What was tried over all seeds.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) faults: BTreeMap<&'static str, u32>,
    outcomes: BTreeMap<(Kind, String), u32>,
}

impl Tried {
    pub(super) fn note(&mut self, records: &[Record]) {
        for record in records {
            let outcome = match &record.reply {
                None => "no answer".to_owned(),
                Some(reply) if !reply.is_whole => "cut".to_owned(),
                Some(reply) => reply.status.as_str().to_owned(),
            };
            *self.outcomes.entry((record.kind, outcome)).or_default() += 1;
        }
    }
}

impl fmt::Display for Tried {
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

/// Returns what broke a promise.
pub(super) fn check(
    records: &[Record],
    runs: &BTreeMap<String, Vec<RequestRecord>>,
) -> Vec<String> {
    let each = records.iter().filter_map(|record| {
        let ran = runs.get(&record.attempt).map_or(&[][..], Vec::as_slice);
        fault(record, ran)
            .map(|fault| format!("{}: {fault}: {record:?} ran {ran:?}", record.attempt))
    });
    each.chain(overspent(records)).collect()
}

fn fault(record: &Record, ran: &[RequestRecord]) -> Option<&'static str> {
    let may_repeat = matches!(record.kind, Kind::Read | Kind::Advice);
    if !may_repeat && ran.len() > 1 {
        return Some("ran more than once");
    }
    if ran.len() > 2 {
        return Some("ran at more upstreams than allowed");
    }
    if ran.iter().any(|run| run.body != record.body) {
        return Some("ran with another body");
    }
    let reply = record.reply.as_ref()?;
    if NOT_RUN.contains(&reply.status) && !ran.is_empty() {
        return Some("is said not to have run");
    }
    if reply.status == StatusCode::NOT_FOUND && record.previous.is_some() {
        return Some("its turn before was answered whole and is not found");
    }
    if reply.status != StatusCode::OK {
        return None;
    }
    if reply.header("attempt-id") != Some(&record.attempt) {
        return Some("has another request's answer");
    }
    if reply.header("server-signature").is_none() {
        return Some("is answered with no upstream's signature");
    }
    let is_stream = matches!(record.kind, Kind::Advice | Kind::Chat);
    if is_stream && !is_in_order(&reply.body, reply.is_whole) {
        return Some("lacks events, or has them twice");
    }
    None
}

/// Tells whether a stream has its three events in order; one that broke off, the first of them.
fn is_in_order(body: &str, is_whole: bool) -> bool {
    let all: Vec<_> = (1..=3)
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    let whole = all.concat();
    if is_whole {
        body == whole
    } else {
        whole.starts_with(body)
    }
}

/// Returns the programs that got more tokens than their budget and the most of one turn.
fn overspent(records: &[Record]) -> impl Iterator<Item = String> {
    let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records.iter().filter(|record| record.kind == Kind::Advice) {
        let body = record.reply.as_ref().map_or("", |reply| &reply.body);
        let events = body.matches("data:").count() as u64;
        *tokens.entry(&record.program).or_default() += events * EVENT_TOKENS;
    }
    let over = tokens
        .into_iter()
        .filter(|(_, tokens)| *tokens > BUDGET + MOST);
    let over: Vec<_> = over
        .map(|(id, tokens)| format!("{id} got {tokens} tokens"))
        .collect();
    over.into_iter()
}
