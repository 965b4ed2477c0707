//! The configuration's rows.

use std::sync::Arc;

use basilramp_platform::table::{Action, Client, Condition, Failure, Key, Order, Row, Write};
use basilramp_wire::config::{Change, ConfigVersion, Edit, Item};
use serde::Serialize;

use super::{Config, edit};
use crate::commit::MAX_WRITES;

const PARTITION: &str = "config";
const HEAD: &str = "head";
const PENDING: &str = "pending";
const ITEM_PREFIX: &str = "item/";
const LOG_PREFIX: &str = "log/";
const LOG_PAGE_ROWS: u32 = 100;

/// Rows besides its items in the transaction that commits a change.
const COMMIT_WRITES: usize = 3;

/// Reads that may be made before a load that other changes overtake is given up.
const LOAD_ATTEMPTS: u32 = 5;

/// The rows could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unavailable;

impl From<Failure> for Unavailable {
    fn from(_: Failure) -> Self {
        Self
    }
}

/// Reads the rows.
#[derive(Clone, Debug)]
pub(super) struct Store {
    client: Client,
}

impl Store {
    pub(super) fn open(client: Client) -> Self {
        Self { client }
    }

    /// Reads the version in force.
    pub(super) async fn head(&self) -> Result<ConfigVersion, Unavailable> {
        let row = self.client.get(&Key::new(PARTITION, HEAD)).await?;
        match row {
            Some(row) => read(&row),
            None => Ok(ConfigVersion::default()),
        }
    }

    /// Reads the changes after a version, oldest first.
    pub(super) async fn changes(&self, after: u64) -> Result<Vec<(u64, Change)>, Unavailable> {
        let mut changes = Vec::new();
        let mut after = log_key(after);
        loop {
            let page = self
                .client
                .query(
                    PARTITION,
                    LOG_PREFIX,
                    Some(&after),
                    LOG_PAGE_ROWS,
                    Order::Ascending,
                )
                .await?;
            for row in &page.rows {
                changes.push((row.version, read(row)?));
                after = row.key.sort.to_string();
            }
            if !page.has_more || page.rows.is_empty() {
                return Ok(changes);
            }
        }
    }

    /// Reads the version of the change whose items are not all written, if there is one.
    pub(super) async fn pending(&self) -> Result<Option<u64>, Unavailable> {
        let row = self.client.get(&Key::new(PARTITION, PENDING)).await?;
        Ok(row.map(|row| row.version))
    }

    /// Reads the change that made a version.
    pub(super) async fn change(&self, version: u64) -> Result<Change, Unavailable> {
        let row = self
            .client
            .get(&Key::new(PARTITION, log_key(version)))
            .await?;
        read(&row.ok_or(Unavailable)?)
    }

    /// Reads the whole configuration as it stands at one version.
    pub(super) async fn load(&self) -> Result<Config, Unavailable> {
        for _ in 0..LOAD_ATTEMPTS {
            let before = self.head().await?;
            let pending = self.pending().await?;
            let rows = self.client.query_all(PARTITION, ITEM_PREFIX).await?;
            let pending = match pending {
                Some(version) => Some((version, self.change(version).await?)),
                None => None,
            };
            if self.head().await? == before {
                return config(before, &rows, pending);
            }
        }
        Err(Unavailable)
    }
}

/// Returns the writes that commit a change on top of the version that it was made from.
///
/// The items of a large change are written afterwards, by [`item_writes`].
pub(super) fn writes(change: &Change) -> Vec<Write> {
    let version = change.base + 1;
    let check = match change.base {
        0 => Condition::Absent,
        base => Condition::Version(base),
    };
    let head = put(HEAD.to_owned(), check, version, &ConfigVersion { version });
    let log = put(log_key(version), Condition::Absent, version, change);
    let mut writes = vec![head, log];
    if is_large(change) {
        let pending = ConfigVersion { version };
        writes.push(put(
            PENDING.to_owned(),
            Condition::Absent,
            version,
            &pending,
        ));
    } else {
        writes.push(on_pending(Condition::Absent, Action::Check));
        writes.extend(change.edits.iter().map(|edit| item(version, edit)));
    }
    writes
}

/// Tells whether a change's items are too many for the transaction that commits it.
pub(super) fn is_large(change: &Change) -> bool {
    change.edits.len() > MAX_WRITES - COMMIT_WRITES
}

/// Returns the transactions that write the items of a large change, and then end its pending.
///
/// Each fails once the change is pending no more.
pub(super) fn item_writes(version: u64, change: &Change) -> Vec<Vec<Write>> {
    let chunks = change.edits.chunks(MAX_WRITES - 1).map(|edits| {
        let check = on_pending(Condition::Version(version), Action::Check);
        let items = edits.iter().map(|edit| item(version, edit));
        [check].into_iter().chain(items).collect()
    });
    let end = vec![on_pending(Condition::Version(version), Action::Delete)];
    chunks.chain([end]).collect()
}

fn item(version: u64, edit: &Edit) -> Write {
    let item = Item {
        version,
        value: edit.value.clone(),
    };
    let key = format!("{ITEM_PREFIX}{}/{}", edit::kind_name(edit.kind), edit.name);
    put(key, Condition::None, version, &item)
}

fn on_pending(check: Condition, action: Action) -> Write {
    Write {
        key: Key::new(PARTITION, PENDING),
        condition: check,
        action,
    }
}

fn put(sort: String, check: Condition, version: u64, body: &impl Serialize) -> Write {
    let body = serde_json::to_string(body).unwrap_or_default();
    Write {
        key: Key::new(PARTITION, sort),
        condition: check,
        action: Action::Put {
            version,
            body: body.into(),
        },
    }
}

fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

fn read<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_str(&row.body).map_err(|_| Unavailable)
}

fn config(
    head: ConfigVersion,
    rows: &[Row],
    pending: Option<(u64, Change)>,
) -> Result<Config, Unavailable> {
    let mut config = Config {
        version: head.version,
        ..Config::default()
    };
    for row in rows {
        let item: Item = read(row)?;
        if let Some(edit) = edit(&row.key.sort, &item) {
            edit::apply(&mut config, item.version, &edit);
        }
    }
    if let Some((version, change)) = pending {
        for edit in &change.edits {
            edit::apply(&mut config, version, edit);
        }
    }
    Ok(config)
}

fn edit(sort: &Arc<str>, item: &Item) -> Option<Edit> {
    let (kind, name) = sort.strip_prefix(ITEM_PREFIX)?.split_once('/')?;
    Some(Edit {
        kind: edit::kind(kind)?,
        name: name.to_owned(),
        value: item.value.clone(),
    })
}
