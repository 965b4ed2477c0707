//! The configuration of a soak run, whose accounts change their keys while callers run.

use basilramp_fakes::user_platform::Store;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::json;

use crate::support::configure_accounts;

/// Names of the accounts.
pub(super) const ACCOUNTS: [&str; 2] = ["alpha", "beta"];

/// Start of each key, which no log line may contain.
pub(super) const KEY_PREFIX: &str = "sk-soak-";

/// Number of keys of each account.
const KEYS_PER_ACCOUNT: usize = 2;

/// The configuration and the keys that it had before.
#[derive(Debug)]
pub(super) struct Configuration {
    version: u64,
    /// Keys of each account, the oldest first.
    keys: [Vec<String>; ACCOUNTS.len()],
    revoked: [Vec<String>; ACCOUNTS.len()],
    created: u64,
}

impl Configuration {
    pub(super) fn new() -> Self {
        let mut configuration = Self {
            version: 0,
            keys: Default::default(),
            revoked: Default::default(),
            created: 0,
        };
        for account in 0..ACCOUNTS.len() {
            for _ in 0..KEYS_PER_ACCOUNT {
                configuration.add_key(account);
            }
        }
        configuration
    }

    /// Puts the next version in the store.
    pub(super) fn write(&mut self, store: &Store) {
        self.version += 1;
        let accounts = ACCOUNTS.iter().zip(&self.keys);
        let accounts = accounts.map(|(name, keys)| json!({"name": name, "api_keys": keys}));
        configure_accounts(store, self.version, &accounts.collect());
    }

    /// Revokes the oldest key of each account and adds another.
    pub(super) fn change_keys(&mut self) {
        for account in 0..ACCOUNTS.len() {
            let oldest = self.keys[account].remove(0);
            self.revoked[account].push(oldest);
            self.add_key(account);
        }
    }

    fn add_key(&mut self, account: usize) {
        self.created += 1;
        self.keys[account].push(format!(
            "{KEY_PREFIX}{}-{}",
            ACCOUNTS[account], self.created
        ));
    }

    /// Returns a key of an account for a caller, which sometimes uses one that was revoked.
    pub(super) fn pick_key(&self, account: usize, random: &mut impl Rng) -> String {
        let is_late = random.random_ratio(1, 8);
        let revoked = self.revoked[account].choose(random).filter(|_| is_late);
        let key = revoked.or_else(|| self.keys[account].choose(random));
        key.cloned().expect("an account has keys")
    }

    /// Returns the keys of all accounts, each with the index of its account.
    pub(super) fn valid(&self) -> Vec<(usize, String)> {
        with_accounts(&self.keys)
    }

    /// Returns the revoked keys of all accounts.
    pub(super) fn revoked(&self) -> Vec<(usize, String)> {
        with_accounts(&self.revoked)
    }
}

fn with_accounts(keys: &[Vec<String>]) -> Vec<(usize, String)> {
    let keys = keys.iter().enumerate();
    let keys = keys.flat_map(|(account, keys)| keys.iter().map(move |key| (account, key.clone())));
    keys.collect()
}
