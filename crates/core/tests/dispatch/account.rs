//! Lookup of accounts by key, ids under which their data is stored, and invalid lists.

use std::collections::BTreeSet;
use std::sync::Arc;

use basilramp_core::dispatch::account::{Account, Accounts, Entry, Invalid, KeyDigest, Scope};

fn account(name: &str) -> Account {
    Account::new(name.into(), None, None)
}

fn entry(name: &str, keys: &[&str]) -> Entry {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    Entry {
        account: account(name),
        keys: keys.collect(),
    }
}

fn name(account: Option<&Arc<Account>>) -> Option<&str> {
    account.map(|account| &*account.name)
}

#[test]
fn each_key_of_an_account_finds_it_and_no_other_text_does() {
    let entries = (0..50).map(|number| {
        let keys = [format!("k{number}"), format!("spare-{number}")];
        entry(&format!("account-{number}"), &[&keys[0], &keys[1]])
    });
    let accounts = Accounts::new(entries).unwrap();
    for number in 0..50 {
        for key in [format!("k{number}"), format!("spare-{number}")] {
            let found = accounts.find(KeyDigest::of(key.as_bytes()));
            assert_eq!(name(found), Some(&*format!("account-{number}")));
        }
    }
    for key in ["", "k", "k50", "K1", "k1 ", "spare", "account-1", "k1\0"] {
        assert_eq!(
            accounts.find(KeyDigest::of(key.as_bytes())),
            None,
            "{key:?}"
        );
    }
    assert_eq!(name(accounts.find_by_name("account-7")), Some("account-7"));
    assert_eq!(accounts.find_by_name("k7"), None);
}

#[test]
fn accounts_are_listed_with_the_number_of_their_keys() {
    let entries = [entry("b", &["k1", "k2", "k1"]), entry("a", &[])];
    let accounts = Accounts::new(entries).unwrap();
    let listed = accounts
        .iter()
        .map(|(account, keys)| (&*account.name, keys));
    assert_eq!(listed.collect::<Vec<_>>(), [("a", 0), ("b", 2)]);
}

/// Guards against a list of which a part takes effect, or whose error tells a key.
#[test]
fn lists_with_a_shared_name_or_key_are_invalid() {
    let same_name = Accounts::new([entry("a", &["k1"]), entry("a", &["k2"])]);
    assert_eq!(same_name, Err(Invalid::DuplicateName("a".into())));
    let same_key = Accounts::new([entry("a", &["k1", "k2"]), entry("b", &["k3", "k2"])]);
    assert_eq!(same_key, Err(Invalid::SharedKey("a".into(), "b".into(), 2)));
    let text = same_key.unwrap_err().to_string();
    assert!(text.contains('a') && text.contains('b') && !text.contains("k2"));
}

/// Guards against an id by which one account, or a caller without one, names the data of another.
#[test]
fn no_id_of_one_scope_is_that_of_another() {
    let alpha = Scope::Account(Arc::new(account("alpha")));
    let beta = Scope::Account(Arc::new(account("beta")));
    let scopes = [alpha, beta, Scope::Public];
    // Ids that callers name on purpose: those under which data of the scopes is stored.
    let mut ids: BTreeSet<Arc<str>> = ["t1", "", "~", "t1~", "t1/000"].map(Arc::from).into();
    for _ in 0..3 {
        let stored = ids
            .iter()
            .flat_map(|id| scopes.iter().map(|scope| scope.id(id)));
        let stored: Vec<_> = stored.collect();
        assert_eq!(stored.iter().collect::<BTreeSet<_>>().len(), stored.len());
        ids.extend(stored);
    }
    // Without accounts, and on public routes, rows have the ids that callers name.
    for id in ["t1", "t1~", "~", ""] {
        assert_eq!(&*Scope::Public.id(&id.into()), id);
    }
}

#[test]
fn an_account_keeps_its_ids_when_its_keys_and_limits_change() {
    let before = Scope::Account(Arc::new(account("alpha")));
    let after = Account::new("alpha".into(), Some(3), None);
    let after = Scope::Account(Arc::new(after));
    assert_eq!(before.id(&"t1".into()), after.id(&"t1".into()));
}

/// A request was relayed by an instance with another configuration version. The newer of both decides
/// whom its key belongs to.
#[test]
fn the_newer_configuration_decides_on_a_relayed_key() {
    let accounts = Accounts::new([entry("alpha", &["k1"]), entry("beta", &["k2"])]).unwrap();
    let find = |key: &str, relayed_version, relayed_name: &str| {
        let key = KeyDigest::of(key.as_bytes());
        let found = accounts.find_relayed(key, 7, &relayed_name.into(), relayed_version);
        found.map(|account| account.name.to_string())
    };
    for version in [6, 7] {
        // Revoked since.
        assert_eq!(find("k3", version, "alpha"), None);
        // Given to another account since.
        assert_eq!(find("k2", version, "alpha").as_deref(), Some("beta"));
        assert_eq!(find("k1", version, "alpha").as_deref(), Some("alpha"));
    }
    // Added, or given to another account, in a version that is not known here yet.
    assert_eq!(find("k3", 8, "alpha").as_deref(), Some("alpha"));
    assert_eq!(find("k2", 8, "alpha").as_deref(), Some("alpha"));
    assert_eq!(find("k3", 8, "gamma").as_deref(), Some("gamma"));
}
