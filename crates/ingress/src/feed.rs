//! Follows the configuration and the upstream entries through the store's change feeds.

use std::sync::Arc;
use std::time::Duration;

use basilramp_adapter::config::InvalidConfig;
use basilramp_adapter::store::{Client, Error, Page, PartitionKey, Row};
use basilramp_adapter::{config, discovery};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::Change;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::route::RouteTable;
use basilramp_process::clock::boot_time;
use basilramp_process::event;
use bytes::Bytes;
use rand::Rng;

use crate::log_event::Event;
use crate::state::{State, StoreCall};
use crate::{rate_limit, suspect, version_history};

/// Long-poll timeout for the configuration table. It distinguishes a dead connection from a quiet
/// table, well within the time in which a change must take effect.
const CONFIG_LONG_POLL_MS: u64 = 800;

/// Long-poll timeout for the table of upstreams.
const FLEET_LONG_POLL_MS: u64 = 800;

/// Delay between two polls of the table of upstreams. Each heartbeat is a change, and the delay
/// batches many of them into one response. It is a fraction of the time within which an upstream
/// must stop getting requests.
const FLEET_POLL_INTERVAL_MS: u64 = 350;

/// Time allowed for a response beyond the long-poll timeout.
const RESPONSE_TIMEOUT_MS: u64 = 400;

/// First backoff after a failure; it doubles up to [`MAX_BACKOFF_MS`].
const FIRST_BACKOFF_MS: u64 = 50;

/// Maximum backoff after failures. It is short, so that the recovery of the store is noticed soon.
const MAX_BACKOFF_MS: u64 = 300;

/// Long-poll timeout for the table of rate limits, which is mostly empty. A dead connection is closed
/// by its keepalive probes.
const LIMIT_LONG_POLL_MS: u64 = 3_000;

/// Long-poll timeout for the table of suspects, which is mostly empty. A dead connection is closed by
/// its keepalive probes.
const SUSPECT_LONG_POLL_MS: u64 = 10_000;

/// A table followed through its change feed.
struct Feed {
    table: &'static str,
    /// Whether the outcome of its calls tells whether the store as a whole is available.
    is_watched: bool,
    long_poll_ms: u64,
    interval_ms: u64,
    /// Version after which changes are requested. `None` if the whole table has to be read.
    after: Option<u64>,
    /// Highest version seen so far. A response with a lower version is stale.
    max_version: u64,
    failures: u32,
    /// Time as of which the table is known.
    read_at: Time,
    /// Later time as of which it is known too, of the boot clock. A long poll ends some time after its
    /// start.
    as_of: Time,
}

/// Follows the configuration. Never returns.
pub(crate) async fn follow_config(state: Arc<State>) {
    let mut feed = Feed::new(config::TABLE, CONFIG_LONG_POLL_MS, 0);
    // After each interruption of the feed, the same row is read again.
    let mut row_version = 0;
    loop {
        if let Some((page, _)) = feed.next(&state).await {
            let rows = page.rows.iter().filter(|row| &*row.key == config::KEY);
            for row in rows {
                if row.version > row_version {
                    row_version = row.version;
                    apply_config_row(&state, row);
                }
            }
            state.record_config_view(feed.as_of);
        }
    }
}

/// Follows the upstream entries. Never returns.
pub(crate) async fn follow_fleet(state: Arc<State>) {
    let mut feed = Feed::new(discovery::TABLE, FLEET_LONG_POLL_MS, FLEET_POLL_INTERVAL_MS);
    loop {
        if let Some((page, is_full_table)) = feed.next(&state).await {
            apply_entries(&state, &page, is_full_table);
            state.record_fleet_view(feed.read_at);
        }
        let known = |key| state.fleet().get(key).is_some();
        let now = state.now();
        state.fleet().expire(now);
        version_history::record_view(&state);
        state.pool.expire(known, now);
        state.budgets.expire(now);
    }
}

/// Follows the requests that may crash upstreams. Never returns.
pub(crate) async fn follow_suspects(state: Arc<State>) {
    let mut feed = Feed {
        is_watched: false,
        ..Feed::new(suspect::TABLE, SUSPECT_LONG_POLL_MS, 0)
    };
    loop {
        if let Some((page, is_full_table)) = feed.next(&state).await {
            for row in &page.rows {
                suspect::apply_row(&state, row);
            }
            if is_full_table {
                suspect::apply_missing_rows(&state, &page);
            }
        }
        suspect::expire(&state);
    }
}

/// Follows the rate limits of upstreams. Never returns.
pub(crate) async fn follow_limits(state: Arc<State>) {
    let mut feed = Feed {
        is_watched: false,
        ..Feed::new(rate_limit::LIMIT_TABLE, LIMIT_LONG_POLL_MS, 0)
    };
    loop {
        if let Some((page, is_full_table)) = feed.next(&state).await {
            for row in &page.rows {
                rate_limit::apply_row(&state, row);
            }
            if is_full_table {
                rate_limit::apply_missing_rows(&state, &page.rows, page.version);
            }
        }
        rate_limit::expire(&state);
    }
}

impl Feed {
    const fn new(table: &'static str, long_poll_ms: u64, interval_ms: u64) -> Self {
        Self {
            table,
            is_watched: true,
            long_poll_ms,
            interval_ms,
            after: None,
            max_version: 0,
            failures: 0,
            read_at: Time::ZERO,
            as_of: Time::ZERO,
        }
    }

    /// Returns the next changes or the whole table, and whether it is the whole table. Returns
    /// `None` after a failure.
    async fn next(&mut self, state: &State) -> Option<(Page, bool)> {
        let after = self.after;
        if after.is_some() {
            tokio::time::sleep(Duration::from_millis(self.interval_ms)).await;
        }
        let began = state.now();
        let result = match after {
            None => self.read_table(state).await,
            Some(after) => {
                let limit_ms = self.long_poll_ms + RESPONSE_TIMEOUT_MS;
                let store = &state.store;
                let changes = store.poll_changes(self.table, after, self.long_poll_ms, limit_ms);
                tokio::select! {
                    result = changes => result,
                    () = state.store_suspected.notified(), if self.is_watched => {
                        self.after = None;
                        return None;
                    }
                }
            }
        };
        // A feed may be interrupted or silent while the rest of the store works. The read of the
        // whole table that follows decides.
        if self.is_watched && (after.is_none() || result.is_ok()) {
            state.record_call(outage::FEED_PARTITION, &result, began);
        }
        match result {
            Ok(page) => {
                self.failures = 0;
                if page.version < self.max_version {
                    // Stale: all of its content is already known.
                    self.backoff().await;
                    return None;
                }
                self.read_at = began;
                let since_began = state.now().since(began);
                let age_ms = state.store.age_ms(&page).unwrap_or(since_began);
                self.as_of = boot_time().before(age_ms.min(since_began));
                self.after = Some(page.version);
                self.max_version = page.version;
                Some((page, after.is_none()))
            }
            Err(error) => {
                if error == Error::HistoryGone {
                    event!(state.log, Event::FeedReset, "table" => self.table);
                } else {
                    self.backoff().await;
                }
                self.after = None;
                None
            }
        }
    }

    async fn read_table(&self, state: &State) -> Result<Page, Error> {
        let place = PartitionKey {
            table: self.table,
            partition: "",
        };
        let mut table = Page::default();
        let mut from: Option<String> = None;
        loop {
            let store = &state.store;
            let page = store
                .read_range(place, from.as_deref(), None, RESPONSE_TIMEOUT_MS)
                .await?;
            if table.version == 0 {
                // Changes made between the pages are reported again by the feed.
                table.version = page.version;
            }
            let next = page.rows.last().map(|row| format!("{}\u{1}", row.key));
            table.rows.extend(page.rows);
            match next {
                Some(next) if page.has_more => from = Some(next),
                _ => return Ok(table),
            }
        }
    }

    async fn backoff(&mut self) {
        let bound = (FIRST_BACKOFF_MS << self.failures.min(4)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        let ms = rand::rng().random_range(bound / 2..=bound);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Reads the configuration from the store.
///
/// # Errors
///
/// Returns the error of the call.
pub(crate) async fn read_config(state: &State, deadline: Time) -> Result<(), Error> {
    let place = PartitionKey {
        table: config::TABLE,
        partition: "",
    };
    let call = async |store: &Client, limit_ms| store.read_range(place, None, None, limit_ms).await;
    let began = boot_time();
    // The partition has the name of the watched tables' one, whose health is another matter.
    let page = state
        .call(StoreCall::Read, config::TABLE, deadline, call)
        .await?;
    let rows = page.rows.iter().filter(|row| &*row.key == config::KEY);
    rows.for_each(|row| apply_config_row(state, row));
    state.record_config_view(began);
    Ok(())
}

fn apply_config_row(state: &State, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    if let Err(error) = apply_config(state, Bytes::copy_from_slice(value), None) {
        log_unreadable(state, config::TABLE, row, &error.to_string());
    }
}

/// Applies a configuration document if it is newer than the one in force. `source` is the instance that it
/// was copied from, if it does not come from the store.
///
/// # Errors
///
/// Fails if the document is invalid.
pub(crate) fn apply_config(
    state: &State,
    document: Bytes,
    source: Option<&str>,
) -> Result<(), InvalidConfig> {
    let config = config::parse(&document)?;
    let version = config.version;
    let routes = config.routes.len();
    let was_ready = state.table().is_some();
    if state.apply_config(RouteTable::new(config), document) {
        event!(
            state.log,
            Event::ConfigInForce,
            "version" => version,
            "routes" => routes,
            "from" => source
        );
        if !was_ready {
            event!(state.log, Event::Ready);
        }
    }
    Ok(())
}

fn apply_entries(state: &State, page: &Page, is_full_table: bool) {
    let now = state.now();
    let mut upstreams = Vec::new();
    for row in &page.rows {
        let Some(value) = &row.value else {
            let change = state.fleet().remove(&row.key, now);
            log_change(state, &row.key, change, "entry removed");
            continue;
        };
        match discovery::parse(&row.key, value) {
            Ok(upstream) if is_full_table => upstreams.push(upstream),
            Ok(upstream) => {
                state.suspects.record_heartbeat(state, &upstream, now);
                let change = state.fleet().observe(upstream, now);
                log_change(state, &row.key, change, "entry");
            }
            Err(error) => {
                log_unreadable(state, discovery::TABLE, row, &error.0);
                state.fleet().remove(&row.key, now);
            }
        }
    }
    if is_full_table {
        state.fleet().replace_all(upstreams, now);
        state.mark_fleet_loaded();
    }
}

/// Logs how an upstream's serving changes.
pub(crate) fn log_change(state: &State, id: &Arc<str>, change: Change, cause: &'static str) {
    let event = match change {
        Change::None => return,
        Change::Joined => Event::UpstreamJoined,
        Change::Draining => Event::UpstreamLeaving,
    };
    let version = {
        let fleet = state.fleet();
        let entry = fleet.find_by_id(id).and_then(|key| fleet.get(key));
        entry.map(|entry| Arc::clone(&entry.upstream.version))
    };
    event!(
        state.log,
        event,
        "upstream" => &**id,
        "version" => version.as_deref(),
        "cause" => cause
    );
}

/// Logs a row that is skipped, as it can't be decoded.
pub(crate) fn log_unreadable(state: &State, table: &'static str, row: &Row, error: &str) {
    if !state.allows_log_line(Event::RowUnreadable) {
        return;
    }
    event!(
        state.log,
        Event::RowUnreadable,
        "table" => table,
        "key" => &*row.key,
        "version" => row.version,
        "error" => error.to_owned()
    );
}
