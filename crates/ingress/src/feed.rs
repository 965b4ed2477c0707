//! Configuration and upstreams, as the store tells of them.

use std::sync::Arc;
use std::time::Duration;

use basilramp_adapter::store::{Error, Page, PartitionKey, Row};
use basilramp_adapter::{config, discovery};
use basilramp_core::dispatch::fleet::Change;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::route::Table;
use basilramp_process::event;
use rand::Rng;

use crate::log_event::Event;
use crate::state::State;

/// The longest that the store holds a call on configuration: it tells a silent connection from
/// a quiet table well within the time in which a change has to be in force.
const CONFIG_WAIT_MS: u64 = 800;

/// The longest that the store holds a call on upstreams.
const FLEET_WAIT_MS: u64 = 800;

/// Pause between two calls on upstreams: each heartbeat is a change, and a pause turns many of
/// them into one answer. It is a fraction of the time in which an upstream has to be left.
const FLEET_PAUSE_MS: u64 = 350;

/// How much longer than the store's own wait an answer may take.
const ANSWER_MS: u64 = 400;

/// The first pause after a failure, which doubles up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: u64 = 50;

/// The longest pause after failures: the store is noticed to be back soon.
const MAX_PAUSE_MS: u64 = 300;

/// A table that is followed.
struct Feed {
    table: &'static str,
    wait_ms: u64,
    pause_ms: u64,
    /// The newest version seen; none if the table has to be read whole.
    after: Option<u64>,
    /// The newest version ever seen: an answer that is older is out of date.
    newest: u64,
    failures: u32,
}

/// Follows the operator's configuration, forever.
pub(crate) async fn follow_config(state: Arc<State>) {
    let mut feed = Feed::new(config::TABLE, CONFIG_WAIT_MS, 0);
    loop {
        if let Some((page, _)) = feed.next(&state).await {
            for row in page.rows.iter().filter(|row| &*row.key == config::KEY) {
                take_config(&state, row);
            }
        }
    }
}

/// Follows the entries of upstreams, forever.
pub(crate) async fn follow_fleet(state: Arc<State>) {
    let mut feed = Feed::new(discovery::TABLE, FLEET_WAIT_MS, FLEET_PAUSE_MS);
    loop {
        if let Some((page, is_whole)) = feed.next(&state).await {
            take_entries(&state, &page, is_whole);
        }
        let known = |key| state.fleet().get(key).is_some();
        let now = state.now();
        state.fleet().expire(now);
        state.pool.expire(known, now);
        state.book.expire(now);
    }
}

impl Feed {
    const fn new(table: &'static str, wait_ms: u64, pause_ms: u64) -> Self {
        Self {
            table,
            wait_ms,
            pause_ms,
            after: None,
            newest: 0,
            failures: 0,
        }
    }

    /// Returns what changed, or the table whole; nothing after a failure.
    async fn next(&mut self, state: &State) -> Option<(Page, bool)> {
        let after = self.after;
        if after.is_some() {
            tokio::time::sleep(Duration::from_millis(self.pause_ms)).await;
        }
        let began = state.now();
        let result = match after {
            None => self.read_whole(state).await,
            Some(after) => {
                let limit_ms = self.wait_ms + ANSWER_MS;
                let store = &state.store;
                let changes = store.poll_changes(self.table, after, self.wait_ms, limit_ms);
                tokio::select! {
                    result = changes => result,
                    () = state.doubt.notified() => {
                        self.after = None;
                        return None;
                    }
                }
            }
        };
        // A feed may be cut or silent while the store does all else; the read of the whole table
        // that follows tells.
        if after.is_none() || result.is_ok() {
            state.note_call(outage::FEED_PART, &result, began);
        }
        match result {
            Ok(page) => {
                self.failures = 0;
                if page.version < self.newest {
                    // Out of date: what it lacks is known already.
                    self.back_off().await;
                    return None;
                }
                self.after = Some(page.version);
                self.newest = page.version;
                Some((page, after.is_none()))
            }
            Err(error) => {
                if error == Error::HistoryGone {
                    event!(state.log, Event::FeedReset, "table" => self.table);
                } else {
                    self.back_off().await;
                }
                self.after = None;
                None
            }
        }
    }

    async fn read_whole(&self, state: &State) -> Result<Page, Error> {
        let place = PartitionKey {
            table: self.table,
            partition: "",
        };
        let mut whole = Page::default();
        let mut from: Option<String> = None;
        loop {
            let store = &state.store;
            let page = store
                .read_range(place, from.as_deref(), None, ANSWER_MS)
                .await?;
            if whole.version == 0 {
                // Changes between the pages are told again by the feed.
                whole.version = page.version;
            }
            let next = page.rows.last().map(|row| format!("{}\u{1}", row.key));
            whole.rows.extend(page.rows);
            match next {
                Some(next) if page.has_more => from = Some(next),
                _ => return Ok(whole),
            }
        }
    }

    async fn back_off(&mut self) {
        let bound = (FIRST_PAUSE_MS << self.failures.min(4)).min(MAX_PAUSE_MS);
        self.failures += 1;
        let ms = rand::rng().random_range(bound / 2..=bound);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

fn take_config(state: &State, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    match config::parse(value) {
        Ok(config) => {
            let version = config.version;
            let routes = config.routes.len();
            let was_ready = state.table().is_some();
            if state.put_in_force(Table::new(config)) {
                event!(state.log, Event::ConfigInForce, "version" => version, "routes" => routes);
                if !was_ready {
                    event!(state.log, Event::Ready);
                }
            }
        }
        Err(error) => unreadable(state, config::TABLE, row, &error.0),
    }
}

fn take_entries(state: &State, page: &Page, is_whole: bool) {
    let now = state.now();
    let mut upstreams = Vec::new();
    for row in &page.rows {
        let Some(value) = &row.value else {
            let change = state.fleet().remove(&row.key, now);
            told(state, &row.key, change, "entry removed");
            continue;
        };
        match discovery::parse(&row.key, value) {
            Ok(upstream) if is_whole => upstreams.push(upstream),
            Ok(upstream) => {
                let change = state.fleet().observe(upstream, now);
                told(state, &row.key, change, "entry");
            }
            Err(error) => {
                unreadable(state, discovery::TABLE, row, &error.0);
                state.fleet().remove(&row.key, now);
            }
        }
    }
    if is_whole {
        state.fleet().replace(upstreams, now);
        state.fleet_known();
    }
}

fn told(state: &State, id: &Arc<str>, change: Change, cause: &'static str) {
    let event = match change {
        Change::None => return,
        Change::Joined => Event::UpstreamJoined,
        Change::Leaving => Event::UpstreamLeaving,
    };
    event!(state.log, event, "upstream" => &**id, "cause" => cause);
}

fn unreadable(state: &State, table: &'static str, row: &Row, error: &str) {
    event!(
        state.log,
        Event::RowUnreadable,
        "table" => table,
        "key" => &*row.key,
        "version" => row.version,
        "error" => error.to_owned()
    );
}
