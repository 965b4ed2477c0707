//! The store rows of the configuration.
//!
//! One partition holds the head row with the current version, a log row for each
//! change, and a row for each item. A change with more items than a transaction
//! can take leaves a pending row until all of its items are written.

use std::sync::Arc;

use basilramp_platform::table::{Action, Client, Condition, Failure, Key, Order, Row, Write};
use basilramp_wire::config::{Change, ConfigVersion, Edit, Item};
use serde::Serialize;

use super::{Config, edit};
use crate::commit::MAX_WRITES;

const PARTITION_KEY: &str = "config";
const HEAD_KEY: &str = "head";
const PENDING_KEY: &str = "pending";
const ITEM_PREFIX: &str = "item/";
const LOG_PREFIX: &str = "log/";
const LOG_ROWS_PER_PAGE: u32 = 100;

/// Writes other than the items in the transaction that commits a change: the head row, the log
/// row and the check of the pending row.
const COMMIT_OVERHEAD_WRITES: usize = 3;

/// Maximum attempts to load the configuration while concurrent changes keep moving the head.
const MAX_LOAD_ATTEMPTS: u32 = 5;

/// The rows could not be read or parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unavailable;

impl From<Failure> for Unavailable {
    fn from(_: Failure) -> Self {
        Self
    }
}

/// Reads the configuration's rows.
#[derive(Clone, Debug)]
pub(super) struct Store {
    client: Client,
}

impl Store {
    pub(super) fn new(client: Client) -> Self {
        Self { client }
    }

    /// Reads the current version.
    pub(super) async fn read_head(&self) -> Result<ConfigVersion, Unavailable> {
        let row = self.client.get(&Key::new(PARTITION_KEY, HEAD_KEY)).await?;
        match row {
            Some(row) => parse_body(&row),
            None => Ok(ConfigVersion::default()),
        }
    }

    /// Reads the changes after a version, oldest first.
    pub(super) async fn read_changes(&self, after: u64) -> Result<Vec<(u64, Change)>, Unavailable> {
        let mut changes = Vec::new();
        let mut after = log_key(after);
        loop {
            let page = self
                .client
                .query(
                    PARTITION_KEY,
                    LOG_PREFIX,
                    Some(&after),
                    LOG_ROWS_PER_PAGE,
                    Order::Ascending,
                )
                .await?;
            for row in &page.rows {
                changes.push((row.version, parse_body(row)?));
                after = row.key.sort.to_string();
            }
            if !page.has_more || page.rows.is_empty() {
                return Ok(changes);
            }
        }
    }

    /// Reads the version of the committed change whose items are not all written, if there is one.
    pub(super) async fn read_pending_version(&self) -> Result<Option<u64>, Unavailable> {
        let row = self
            .client
            .get(&Key::new(PARTITION_KEY, PENDING_KEY))
            .await?;
        Ok(row.map(|row| row.version))
    }

    /// Reads the change that produced a version.
    pub(super) async fn read_change(&self, version: u64) -> Result<Change, Unavailable> {
        let row = self
            .client
            .get(&Key::new(PARTITION_KEY, log_key(version)))
            .await?;
        parse_body(&row.ok_or(Unavailable)?)
    }

    /// Reads the whole configuration at one consistent version.
    ///
    /// Reads again if the head changed meanwhile, up to [`MAX_LOAD_ATTEMPTS`] times.
    pub(super) async fn load_config(&self) -> Result<Config, Unavailable> {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let before = self.read_head().await?;
            let pending = self.read_pending_version().await?;
            let rows = self.client.query_all(PARTITION_KEY, ITEM_PREFIX).await?;
            let pending = match pending {
                Some(version) => Some((version, self.read_change(version).await?)),
                None => None,
            };
            if self.read_head().await? == before {
                return build_config(before, &rows, pending);
            }
        }
        Err(Unavailable)
    }
}

/// Returns the writes that commit a change, conditional on its base version.
///
/// If the items do not fit into the transaction, a pending row is written instead, and
/// [`item_writes`] writes the items afterwards.
pub(super) fn commit_writes(change: &Change) -> Vec<Write> {
    let version = change.base + 1;
    let condition = match change.base {
        0 => Condition::Absent,
        base => Condition::Version(base),
    };
    let head = put_write(
        HEAD_KEY.to_owned(),
        condition,
        version,
        &ConfigVersion { version },
    );
    let log = put_write(log_key(version), Condition::Absent, version, change);
    let mut writes = vec![head, log];
    if exceeds_transaction(change) {
        let pending = ConfigVersion { version };
        writes.push(put_write(
            PENDING_KEY.to_owned(),
            Condition::Absent,
            version,
            &pending,
        ));
    } else {
        writes.push(pending_write(Condition::Absent, Action::Check));
        writes.extend(change.edits.iter().map(|edit| item_write(version, edit)));
    }
    writes
}

/// Returns whether a change has too many items for the transaction that commits it.
pub(super) fn exceeds_transaction(change: &Change) -> bool {
    change.edits.len() > MAX_WRITES - COMMIT_OVERHEAD_WRITES
}

/// Returns the transactions that write the items of a large change and finally delete its pending
/// row.
///
/// Each is conditional on the pending row, so it fails once all items have been written.
pub(super) fn item_writes(version: u64, change: &Change) -> Vec<Vec<Write>> {
    let chunks = change.edits.chunks(MAX_WRITES - 1).map(|edits| {
        let check = pending_write(Condition::Version(version), Action::Check);
        let items = edits.iter().map(|edit| item_write(version, edit));
        [check].into_iter().chain(items).collect()
    });
    let end = vec![pending_write(Condition::Version(version), Action::Delete)];
    chunks.chain([end]).collect()
}

fn item_write(version: u64, edit: &Edit) -> Write {
    let item = Item {
        version,
        value: edit.value.clone(),
    };
    let key = format!("{ITEM_PREFIX}{}/{}", edit::kind_name(edit.kind), edit.name);
    put_write(key, Condition::None, version, &item)
}

fn pending_write(condition: Condition, action: Action) -> Write {
    Write {
        key: Key::new(PARTITION_KEY, PENDING_KEY),
        condition,
        action,
    }
}

fn put_write(sort: String, condition: Condition, version: u64, body: &impl Serialize) -> Write {
    let body = serde_json::to_string(body).unwrap_or_default();
    Write {
        key: Key::new(PARTITION_KEY, sort),
        condition,
        action: Action::Put {
            version,
            body: body.into(),
        },
    }
}

fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

fn parse_body<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_str(&row.body).map_err(|_| Unavailable)
}

fn build_config(
    head: ConfigVersion,
    rows: &[Row],
    pending: Option<(u64, Change)>,
) -> Result<Config, Unavailable> {
    let mut config = Config {
        version: head.version,
        ..Config::default()
    };
    for row in rows {
        let item: Item = parse_body(row)?;
        if let Some(edit) = edit_from_item(&row.key.sort, &item) {
            edit::apply_edit(&mut config, item.version, &edit);
        }
    }
    if let Some((version, change)) = pending {
        for edit in &change.edits {
            edit::apply_edit(&mut config, version, edit);
        }
    }
    Ok(config)
}

fn edit_from_item(sort: &Arc<str>, item: &Item) -> Option<Edit> {
    let (kind, name) = sort.strip_prefix(ITEM_PREFIX)?.split_once('/')?;
    Some(Edit {
        kind: edit::parse_kind(kind)?,
        name: name.to_owned(),
        value: item.value.clone(),
    })
}
