//! Client accounts: who a caller's key belongs to, and what the account may use.
//!
//! Only digests of keys are kept. A lookup compares digests, so its duration tells nothing about how
//! much of a wrong key is right.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use super::rate_limit::Rate;
use crate::history::Digest;

/// Maximum length of a key, in bytes. A longer one does not fit into a request's head.
pub const MAX_KEY_BYTES: usize = 4_096;

/// Maximum rate and burst of a quota: far above what all instances together can handle.
pub const MAX_QUOTA: f64 = 1_000_000.0;

/// Separates the account's digest in a scoped id from the id that callers name.
const SEPARATOR: char = '~';

/// End of an id of public callers that looks like one of an account.
const ESCAPE: &str = "~~";

/// Hexadecimal digits of the account's digest in a scoped id.
const SCOPE_DIGITS: usize = 16;

/// Digest of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Digest::from_parts([key]))
    }
}

impl From<Digest> for KeyDigest {
    fn from(digest: Digest) -> Self {
        Self(digest)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Requests that an account may make through all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Sustained rate.
    pub rate: Rate,
    /// Requests beyond the rate that may come at once.
    pub burst: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: Arc<str>,
    /// Priority of its requests, which takes precedence over the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota, if the account has one.
    pub quota: Option<Quota>,
    /// Suffix of ids that belong to the account.
    scope: Arc<str>,
}

impl Account {
    /// Creates an account.
    #[must_use]
    pub fn new(name: Arc<str>, priority: Option<u8>, quota: Option<Quota>) -> Self {
        let digest = Digest::from_parts([name.as_bytes()]).to_string();
        let scope = format!("{SEPARATOR}{}", &digest[..SCOPE_DIGITS]).into();
        Self {
            name,
            priority,
            quota,
            scope,
        }
    }

    /// Returns an id under which the account's data is stored. Another account that names the same
    /// `id` gets another result.
    #[must_use]
    pub fn scoped(&self, id: &str) -> Arc<str> {
        format!("{id}{}", self.scope).into()
    }
}

/// Whose data a request reads and writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Callers who need no key: those of public routes, and all callers of a deployment without accounts.
    Public,
    /// Callers with a key of the account.
    Account(Arc<Account>),
}

impl Scope {
    /// Returns the id under which data that callers name `id` is stored. It differs between scopes also
    /// if a caller names an id under which data of another scope is stored: ids of accounts end with a
    /// digest, and a public caller that names such an id gets it with an escape.
    #[must_use]
    pub fn id(&self, id: &Arc<str>) -> Arc<str> {
        match self {
            Self::Public if is_account_id(id.trim_end_matches(ESCAPE)) => {
                format!("{id}{ESCAPE}").into()
            }
            Self::Public => Arc::clone(id),
            Self::Account(account) => account.scoped(id),
        }
    }
}

/// Returns whether an id is one under which data of an account is stored.
fn is_account_id(id: &str) -> bool {
    let Some((_, digest)) = id.rsplit_once(SEPARATOR) else {
        return false;
    };
    digest.len() == SCOPE_DIGITS && digest.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// An account as the operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The account.
    pub account: Account,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why a list of accounts is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// Two accounts have this name.
    DuplicateName(Arc<str>),
    /// The accounts with these names share a key. Holds its position, from 1, among the keys of the
    /// second account.
    SharedKey(Arc<str>, Arc<str>, usize),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateName(name) => write!(f, "two accounts have the name {name}"),
            Self::SharedKey(first, second, position) => write!(
                f,
                "accounts {first} and {second} have the same key: key {position} of {second}"
            ),
        }
    }
}

/// All accounts of a configuration, by the digest of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    by_key: BTreeMap<KeyDigest, Arc<Account>>,
    by_name: BTreeMap<Arc<str>, Arc<Account>>,
}

impl Accounts {
    /// Builds the lookup table.
    ///
    /// # Errors
    ///
    /// Fails if two accounts share a name or a key.
    pub fn new(entries: impl IntoIterator<Item = Entry>) -> Result<Self, Invalid> {
        let mut accounts = Self::default();
        for Entry { account, keys } in entries {
            let account = Arc::new(account);
            let name = Arc::clone(&account.name);
            if accounts.by_name.contains_key(&name) {
                return Err(Invalid::DuplicateName(name));
            }
            for (index, key) in keys.into_iter().enumerate() {
                let other = accounts.by_key.insert(key, Arc::clone(&account));
                if let Some(other) = other.filter(|other| other.name != name) {
                    let position = index + 1;
                    return Err(Invalid::SharedKey(Arc::clone(&other.name), name, position));
                }
            }
            accounts.by_name.insert(name, account);
        }
        Ok(accounts)
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Account>> {
        self.by_key.get(&key)
    }

    /// Returns the account of a relayed request with a key. The relaying instance found the account
    /// `name` in its configuration `relayed_version`; `version` is that of these accounts. The newer one
    /// decides. Returns `None` if the key was revoked since.
    #[must_use]
    pub fn find_relayed(
        &self,
        key: KeyDigest,
        version: u64,
        name: &Arc<str>,
        relayed_version: u64,
    ) -> Option<Arc<Account>> {
        if relayed_version <= version {
            return self.find(key).cloned();
        }
        let known = self.find_by_name(name).cloned();
        Some(known.unwrap_or_else(|| Arc::new(Account::new(Arc::clone(name), None, None))))
    }

    /// Returns the account with a name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns the digests of the keys of each account that has any, by its name.
    #[must_use]
    pub fn keys_by_account(&self) -> BTreeMap<&str, BTreeSet<KeyDigest>> {
        let mut keys = BTreeMap::<&str, BTreeSet<KeyDigest>>::new();
        for (key, account) in &self.by_key {
            keys.entry(&account.name).or_default().insert(*key);
        }
        keys
    }

    /// Returns the accounts by name, each with the number of its keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<Account>, usize)> {
        let mut keys = BTreeMap::<&str, usize>::new();
        for account in self.by_key.values() {
            *keys.entry(&account.name).or_default() += 1;
        }
        let accounts = self.by_name.values();
        accounts.map(move |account| {
            let count = keys.get(&*account.name).copied();
            (account, count.unwrap_or_default())
        })
    }
}
