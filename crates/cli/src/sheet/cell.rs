//! Parsers of single cells. An error states the expected format.

use basilramp_wire::config::{NAME_RULE, is_valid_name};

/// Maximum number of ready upstreams in a plan.
const MAX_READY: u32 = 100_000;

const MINUTES_PER_DAY: u32 = 24 * 60;

/// Parses the name of a service, place, model, version or adapter.
pub(super) fn parse_name(text: &str) -> Result<String, String> {
    if is_valid_name(text) {
        Ok(text.to_owned())
    } else {
        Err(NAME_RULE.to_owned())
    }
}

/// Parses `HH:MM` as minutes after midnight.
pub(super) fn parse_time_of_day(text: &str) -> Result<u32, String> {
    minute_of_day(text).ok_or_else(|| "must be a time from 00:00 to 24:00".to_owned())
}

fn minute_of_day(text: &str) -> Option<u32> {
    let (hour, minute) = text.split_once(':')?;
    if hour.len() != 2 || minute.len() != 2 {
        return None;
    }
    let (hour, minute) = (parse_digits(hour)?, parse_digits(minute)?);
    let total = hour * 60 + minute;
    (minute < 60 && total <= MINUTES_PER_DAY).then_some(total)
}

/// Parses a number of upstreams.
pub(super) fn parse_ready(text: &str) -> Result<u32, String> {
    match parse_digits(text) {
        Some(count) if count <= MAX_READY => Ok(count),
        _ => Err(format!("must be an integer from 0 to {MAX_READY}")),
    }
}

/// Parses a percentage.
pub(super) fn parse_percent(text: &str) -> Result<u32, String> {
    match parse_digits(text) {
        Some(percent) if percent <= 100 => Ok(percent),
        _ => Err("must be an integer from 0 to 100".to_owned()),
    }
}

/// Parses a decimal number without a sign.
fn parse_digits(text: &str) -> Option<u32> {
    let is_number = text.chars().all(|c| c.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}
