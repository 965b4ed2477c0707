//! Finds the client account of a request by its key.

use std::str::FromStr;
use std::sync::Arc;

use basilramp_adapter::caller;
use basilramp_core::dispatch::account::{Account, Accounts, KeyDigest, Scope};
use basilramp_core::dispatch::config::{Config, Route};
use basilramp_core::dispatch::config_view::Certainty;
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
/// Returns a rejection if the key belongs to no account. While there may be a newer configuration, the key may
/// be new or not needed any more, so the request is rejected as not run.
pub(crate) fn find(
    state: &State,
    table: &RouteTable,
    certainty: Certainty,
    route: &Route,
    relayed: Option<&relay::Client>,
    headers: &HeaderMap,
) -> Result<Option<Client>, Rejection> {
    let config = table.config();
    // The route may be public, or need no account, in the older configuration of this instance alone.
    if let Some(relayed) = relayed.filter(|relayed| relayed.version > config.version) {
        return find_relayed(config, relayed).map(Some);
    }
    let Some(accounts) = config.accounts.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    if let Some(relayed) = relayed {
        return find_relayed(config, relayed).map(Some);
    }
    let key = caller::parse_key(headers).map(KeyDigest::of);
    let found = key.and_then(|key| Some((key, accounts.find(key)?)));
    match found {
        Some((key, account)) => Ok(Some(Client {
            account: Arc::clone(account),
            key,
            version: config.version,
        })),
        // A key may have been added just now.
        None if !certainty.is_confirmed() || (key.is_some() && state.is_store_down()) => {
            Err(Rejection::NotRun(outage::retry_after_hold_ms()))
        }
        None => Err(Rejection::Unauthorized),
    }
}

/// Checks that the key of a request was not revoked since the request arrived: its body and the store may
/// take long.
///
/// # Errors
///
/// Returns a rejection if the key no longer belongs to the account.
pub(crate) fn recheck(state: &State, client: Option<&Client>) -> Result<(), Rejection> {
    let (Some(client), Some(table)) = (client, state.table()) else {
        return Ok(());
    };
    let config = table.config();
    let Some(accounts) = &config.accounts else {
        return Ok(());
    };
    let account = accounts.find(client.key);
    let is_valid = account.is_some_and(|account| account.name == client.account.name);
    if is_valid || config.version <= client.version {
        return Ok(());
    }
    Err(Rejection::Unauthorized)
}

/// Returns whose data a request reads and writes.
pub(crate) fn scope(client: Option<&Client>) -> Scope {
    match client {
        Some(client) => Scope::Account(Arc::clone(&client.account)),
        None => Scope::Public,
    }
}

/// Returns whose data the caller of a request with these headers read and wrote before the latest change of
/// its need for a key, if programs may still go on from then and it was another's.
///
/// A caller that needs no key any more shows by its key which account it had.
pub(crate) fn earlier_scope(
    state: &State,
    table: &RouteTable,
    client: Option<&Client>,
    headers: &HeaderMap,
) -> Option<Scope> {
    let earlier = state.table_before_key_change()?;
    if client.is_some() {
        return Some(Scope::Public);
    }
    let key = caller::parse_key(headers).map(KeyDigest::of)?;
    let accounts = table.config().accounts.as_ref();
    let accounts = accounts.or(earlier.config().accounts.as_ref())?;
    accounts.find(key).cloned().map(Scope::Account)
}

fn find_relayed(config: &Config, relayed: &relay::Client) -> Result<Client, Rejection> {
    let key = Digest::from_str(&relayed.key).map_err(|_| Rejection::Malformed)?;
    let key = KeyDigest::from(key);
    let none = Accounts::default();
    let accounts = config.accounts.as_ref().unwrap_or(&none);
    let account = accounts.find_relayed(key, config.version, &relayed.account, relayed.version);
    Ok(Client {
        account: account.ok_or(Rejection::Unauthorized)?,
        key,
        version: config.version.max(relayed.version),
    })
}
