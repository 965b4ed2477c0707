//! Finds the client account of a request by its key.

use std::str::FromStr;
use std::sync::Arc;

use basilramp_adapter::caller;
use basilramp_core::dispatch::account::{Account, Accounts, KeyDigest};
use basilramp_core::dispatch::config::Route;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::route::RouteTable;
use basilramp_core::history::Digest;
use basilramp_wire::relay;
use http::HeaderMap;

use crate::state::State;

/// Who sent a request.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pub(crate) account: Arc<Account>,
    /// Digest of the key that the request carried.
    pub(crate) key: KeyDigest,
    /// Version of the configuration that holds the key.
    pub(crate) version: u64,
}

/// Returns the account of a request, or `None` if its route needs no key. `relayed` is what another
/// instance found.
///
/// # Errors
///
/// Returns a rejection if the key belongs to no account. While the store is unavailable the key may be
/// new, so the request is rejected as not run.
pub(crate) fn find(
    state: &State,
    table: &RouteTable,
    route: &Route,
    relayed: Option<&relay::Client>,
    headers: &HeaderMap,
) -> Result<Option<Client>, Rejection> {
    let config = table.config();
    let Some(accounts) = config.accounts.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    if let Some(relayed) = relayed {
        return find_relayed(accounts, config.version, relayed).map(Some);
    }
    let key = caller::parse_key(headers).map(KeyDigest::of);
    let key = key.ok_or(Rejection::Unauthorized)?;
    match accounts.find(key) {
        Some(account) => Ok(Some(Client {
            account: Arc::clone(account),
            key,
            version: config.version,
        })),
        None if state.is_store_down() => Err(Rejection::NotRun(outage::retry_after_hold_ms())),
        None => Err(Rejection::Unauthorized),
    }
}

/// Returns the account of a relayed request. A key that this instance doesn't know was revoked, unless
/// the other instance has a newer configuration.
fn find_relayed(
    accounts: &Accounts,
    version: u64,
    relayed: &relay::Client,
) -> Result<Client, Rejection> {
    let key = Digest::from_str(&relayed.key).map_err(|_| Rejection::Malformed)?;
    let key = KeyDigest::from(key);
    let account = match accounts.find(key) {
        Some(account) => Arc::clone(account),
        None if relayed.version <= version => return Err(Rejection::Unauthorized),
        None => accounts.find_by_name(&relayed.account).map_or_else(
            || Arc::new(Account::new(Arc::clone(&relayed.account), None, None)),
            Arc::clone,
        ),
    };
    Ok(Client {
        account,
        key,
        version: version.max(relayed.version),
    })
}
