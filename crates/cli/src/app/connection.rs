//! Addresses and credentials. Options take precedence over environment variables.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use basilramp_cli::{Connection, Error, Secret};
use clap::ArgMatches;

/// Builds the connection settings from the global options and the environment.
pub(super) fn from_matches(matches: &ArgMatches) -> Result<Connection, Error> {
    let seconds = matches.get_one::<u64>("timeout").copied();
    Ok(Connection {
        operator_address: parse_address(matches, "operators", "BASILRAMP_OPERATORS")?,
        caller_address: parse_address(matches, "callers", "BASILRAMP_CALLERS")?,
        operator_token: load_secret(matches, "token-file", "BASILRAMP_TOKEN")?,
        account_key: load_secret(matches, "key-file", "BASILRAMP_KEY")?,
        timeout_ms: seconds.unwrap_or_default() * 1_000,
    })
}

fn parse_address(
    matches: &ArgMatches,
    option: &str,
    variable: &str,
) -> Result<Option<SocketAddr>, Error> {
    if let Some(address) = matches.get_one::<SocketAddr>(option) {
        return Ok(Some(*address));
    }
    let Some(text) = non_empty_var(variable) else {
        return Ok(None);
    };
    let address = text.parse();
    let invalid = |_| Error::Usage(format!("{variable} must be an IP address and a port"));
    address.map(Some).map_err(invalid)
}

/// Loads a secret from the file given by `option`, else from the file that `{variable}_FILE`
/// names, else from `variable` itself.
fn load_secret(
    matches: &ArgMatches,
    option: &str,
    variable: &str,
) -> Result<Option<Secret>, Error> {
    if let Some(file) = matches.get_one::<PathBuf>(option) {
        return read_secret_file(file).map(Some);
    }
    if let Some(file) = non_empty_var(&format!("{variable}_FILE")) {
        return read_secret_file(Path::new(&file)).map(Some);
    }
    Ok(non_empty_var(variable).map(|text| Secret::new(&text)))
}

fn read_secret_file(file: &Path) -> Result<Secret, Error> {
    let text = fs::read_to_string(file).map_err(|error| Error::InvalidInput {
        file: file.display().to_string(),
        errors: vec![error.to_string()],
    })?;
    Ok(Secret::new(&text))
}

fn non_empty_var(name: &str) -> Option<String> {
    env::var(name).ok().filter(|text| !text.is_empty())
}
