//! Bearer authentication: accounts by their key, operators by their token.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use basilramp_core::id;
use basilramp_wire::error::{Error, Kind};
use gotham::state::{FromState, State};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

use crate::config;
use crate::settings::Operator;

/// Looks up accounts by the SHA-256 digests of their keys.
#[derive(Debug)]
pub(crate) struct AccountKeys {
    config: config::Handle,
    index: Mutex<Index>,
}

/// Accounts by key digest, built from one version of the configuration.
#[derive(Clone, Debug, Default)]
struct Index {
    version: u64,
    accounts: Arc<BTreeMap<String, id::Account>>,
}

impl AccountKeys {
    /// Creates an empty index, which is built from the configuration on first use.
    pub(crate) fn new(config: config::Handle) -> Self {
        Self {
            config,
            index: Mutex::default(),
        }
    }

    /// Returns the account whose key the request carries.
    ///
    /// # Errors
    ///
    /// `Unauthorized` if the key is missing or belongs to no account.
    pub(crate) fn authenticate(&self, state: &State) -> Result<id::Account, Error> {
        let digest = bearer_digest(state)?;
        let accounts = self.current_accounts();
        accounts
            .get(&digest)
            .cloned()
            .ok_or_else(|| Error::new(Kind::Unauthorized, "unknown key"))
    }

    /// Returns the index, rebuilt if the version of the configuration changed.
    fn current_accounts(&self) -> Arc<BTreeMap<String, id::Account>> {
        let current = self.config.current();
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        if index.version != current.version {
            let limits = current.limits.iter();
            let accounts = limits.map(|(name, limit)| (limit.key_sha256.clone(), name.clone()));
            *index = Index {
                version: current.version,
                accounts: Arc::new(accounts.collect()),
            };
        }
        index.accounts.clone()
    }
}

/// Returns the name of the operator whose token the request carries.
///
/// # Errors
///
/// `Unauthorized` if the token is missing or belongs to no operator.
pub(crate) fn authenticate_operator(
    operators: &[Operator],
    state: &State,
) -> Result<Arc<str>, Error> {
    let digest = bearer_digest(state)?;
    operators
        .iter()
        .find(|operator| operator.token_sha256 == digest)
        .map(|operator| Arc::from(operator.name.as_str()))
        .ok_or_else(|| Error::new(Kind::Unauthorized, "unknown token"))
}

/// Returns the SHA-256 digest of the request's bearer credential, in hexadecimal.
fn bearer_digest(state: &State) -> Result<String, Error> {
    let headers = HeaderMap::borrow_from(state);
    let secret = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(Kind::Unauthorized, "no bearer key or token"))?;
    Ok(to_hex(&Sha256::digest(secret.trim())))
}

/// Formats bytes in lower-case hexadecimal.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
