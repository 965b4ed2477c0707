//! Parsers of single values. An error is a message that states what the value has to be.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use jsonc_parser::ast::Value;

use crate::Level;

/// Maximum length of a name in bytes.
const MAX_NAME_LEN: usize = 64;

/// Longest duration of a setting: one day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Parses a name of letters, digits, `-`, `_` and `.`.
pub fn name(value: &Value<'_>) -> Result<String, String> {
    let fault = || {
        format!("has to be a name of 1 to {MAX_NAME_LEN} letters, digits, \"-\", \"_\" and \".\"")
    };
    let text = string_value(value).ok_or_else(fault)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || text.len() > MAX_NAME_LEN || !text.chars().all(is_allowed) {
        return Err(fault());
    }
    Ok(text.to_owned())
}

/// Parses an IP address and port.
pub fn address(value: &Value<'_>) -> Result<SocketAddr, String> {
    parse_string(value)
        .ok_or_else(|| "has to be an IP number and a port, as in \"10.0.0.7:8080\"".into())
}

/// Parses an address to connect to: its port is not zero and its IP address is specified.
pub fn remote_address(value: &Value<'_>) -> Result<SocketAddr, String> {
    let address = address(value)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err("has to be an address that can be connected to".into());
    }
    Ok(address)
}

/// Parses a non-empty file path.
pub fn file_path(value: &Value<'_>) -> Result<PathBuf, String> {
    match string_value(value) {
        Some(text) if !text.is_empty() => Ok(PathBuf::from(text)),
        _ => Err("has to be the path of a file".into()),
    }
}

/// Parses a SHA-256 digest in hexadecimal and converts it to lower case.
pub fn digest(value: &Value<'_>) -> Result<String, String> {
    match string_value(value) {
        Some(text) if text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit()) => {
            Ok(text.to_ascii_lowercase())
        }
        _ => Err("has to be a SHA-256 digest of 64 hexadecimal digits".into()),
    }
}

/// Parses a duration in whole milliseconds, of at least one.
pub fn duration_ms(value: &Value<'_>) -> Result<u64, String> {
    match parse_number(value) {
        Some(ms) if (1..=MAX_DURATION_MS).contains(&ms) => Ok(ms),
        _ => Err(format!(
            "has to be whole milliseconds from 1 to {MAX_DURATION_MS}"
        )),
    }
}

/// Parses a duration in seconds, possibly fractional, and returns milliseconds.
pub fn seconds_as_ms(value: &Value<'_>) -> Result<u64, String> {
    let ms = parse_number::<f64>(value).map(|seconds| seconds * 1_000.0);
    match ms {
        Some(ms) if (1.0..=MAX_DURATION_MS as f64).contains(&ms) => Ok(ms as u64),
        _ => Err(format!(
            "has to be seconds from 0.001 to {}",
            MAX_DURATION_MS / 1_000
        )),
    }
}

/// Parses a rate per second, of at least one.
pub fn rate(value: &Value<'_>) -> Result<u32, String> {
    match parse_number(value) {
        Some(rate) if rate > 0 => Ok(rate),
        _ => Err("has to be a whole number a second, of at least 1".into()),
    }
}

/// Parses a count, of at least one.
pub fn count(value: &Value<'_>) -> Result<usize, String> {
    match parse_number(value) {
        Some(count) if count > 0 => Ok(count),
        _ => Err("has to be a whole number of at least 1".into()),
    }
}

/// Parses a whole number, of at least zero.
pub fn whole_number(value: &Value<'_>) -> Result<u32, String> {
    parse_number(value).ok_or_else(|| "has to be a whole number of at least 0".into())
}

/// Parses a finite weight, of at least zero.
pub fn weight(value: &Value<'_>) -> Result<f64, String> {
    match parse_number::<f64>(value) {
        Some(weight) if weight.is_finite() && weight >= 0.0 => Ok(weight),
        _ => Err("has to be a number of at least 0".into()),
    }
}

/// Parses a fraction from 0 to 1.
pub fn fraction(value: &Value<'_>) -> Result<f64, String> {
    match parse_number(value) {
        Some(share) if (0.0..=1.0).contains(&share) => Ok(share),
        _ => Err("has to be a number from 0 to 1".into()),
    }
}

/// Parses a log level.
pub fn level(value: &Value<'_>) -> Result<Level, String> {
    match string_value(value) {
        Some("error") => Ok(Level::Error),
        Some("warn") => Ok(Level::Warn),
        Some("info") => Ok(Level::Info),
        Some("debug") => Ok(Level::Debug),
        _ => Err("has to be \"error\", \"warn\", \"info\" or \"debug\"".into()),
    }
}

fn string_value<'a>(value: &'a Value<'_>) -> Option<&'a str> {
    value.as_string_lit().map(|text| text.value.as_ref())
}

fn parse_string<T: FromStr>(value: &Value<'_>) -> Option<T> {
    string_value(value)?.parse().ok()
}

fn parse_number<T: FromStr>(value: &Value<'_>) -> Option<T> {
    value.as_number_lit()?.value.parse().ok()
}
