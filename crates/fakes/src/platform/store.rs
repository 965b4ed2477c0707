//! Rows and objects with rate limits, injected faults and counters.

use std::collections::BTreeMap;
use std::time::Instant;

use basilramp_wire::table::{Attribute, Item};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Default limit of writes per second.
const DEFAULT_WRITES_PER_S: u32 = 500;

/// Default limit of reads per second.
const DEFAULT_READS_PER_S: u32 = 2_000;

/// A decoded row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Version of the row.
    pub version: u64,
    /// Id of the transaction that wrote the row.
    pub write_id: String,
    /// JSON body.
    pub body: String,
}

/// Counts of operations since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Single-row reads.
    pub gets: u64,
    /// Query pages returned.
    pub queries: u64,
    /// Rows returned by queries.
    pub query_rows: u64,
    /// Transactions applied.
    pub transactions: u64,
    /// Items of the applied transactions.
    pub transaction_items: u64,
    /// Transactions with a failed condition.
    pub condition_failures: u64,
    /// Repeated transactions recognized by their token as already applied.
    pub replayed: u64,
    /// Objects written or deleted.
    pub object_writes: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Operations rejected because of the rate limit.
    pub throttled: u64,
    /// Applied writes whose response was lost.
    pub lost_responses: u64,
    /// Writes applied after their connection was closed.
    pub delayed: u64,
    /// Bytes of request and response bodies.
    pub bytes: u64,
}

/// Injected faults.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) latency_ms: u64,
    pub(crate) lose_next_responses: u32,
    pub(crate) delay_next_writes: u32,
    pub(crate) delay_ms: u64,
    pub(crate) discard_tokens: bool,
    random: Option<(f64, ChaCha8Rng)>,
}

impl Faults {
    /// Loses responses with a probability; zero turns it off.
    pub(crate) fn lose_at_random(&mut self, probability: f64, seed: u64) {
        let random = (probability, ChaCha8Rng::seed_from_u64(seed));
        self.random = (probability > 0.0).then_some(random);
    }

    /// Returns whether the response of the current write is lost, and consumes a queued loss.
    pub(crate) fn next_response_is_lost(&mut self) -> bool {
        if self.lose_next_responses > 0 {
            self.lose_next_responses -= 1;
            return true;
        }
        match &mut self.random {
            Some((probability, random)) => random.random_bool(*probability),
            None => false,
        }
    }

    /// Returns the delay in milliseconds of the current write, and consumes a queued delay.
    pub(crate) fn next_write_delay(&mut self) -> Option<u64> {
        if self.delay_next_writes == 0 {
            return None;
        }
        self.delay_next_writes -= 1;
        Some(self.delay_ms)
    }
}

/// A token bucket that allows bursts of up to one second's operations.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_s: f64,
    available: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    fn new(per_s: u32) -> Self {
        Self {
            per_s: f64::from(per_s),
            available: f64::from(per_s),
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token for one operation; returns false if there is none.
    pub(crate) fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.available = (self.available + refill).min(self.per_s);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// The data of the table service and the object store.
#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) rows: BTreeMap<(String, String), Item>,
    pub(crate) objects: BTreeMap<String, Bytes>,
    pub(crate) tokens: BTreeMap<String, Vec<u8>>,
    pub(crate) writes: RateLimiter,
    pub(crate) reads: RateLimiter,
    pub(crate) faults: Faults,
    pub(crate) counters: Counters,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            tokens: BTreeMap::new(),
            writes: RateLimiter::new(DEFAULT_WRITES_PER_S),
            reads: RateLimiter::new(DEFAULT_READS_PER_S),
            faults: Faults::default(),
            counters: Counters::default(),
        }
    }
}

impl Store {
    pub(crate) fn set_rates(&mut self, writes_per_s: u32, reads_per_s: u32) {
        self.writes = RateLimiter::new(writes_per_s);
        self.reads = RateLimiter::new(reads_per_s);
    }

    pub(crate) fn row(&self, partition: &str, sort: &str) -> Option<Row> {
        let key = (partition.to_owned(), sort.to_owned());
        self.rows.get(&key).map(parse_row)
    }

    pub(crate) fn rows(&self, partition: &str) -> Vec<(String, Row)> {
        let first = (partition.to_owned(), String::new());
        self.rows
            .range(first..)
            .take_while(|((pk, _), _)| pk == partition)
            .map(|((_, sk), item)| (sk.clone(), parse_row(item)))
            .collect()
    }

    pub(crate) fn partitions(&self) -> Vec<String> {
        let mut keys: Vec<String> = self.rows.keys().map(|(pk, _)| pk.clone()).collect();
        keys.dedup();
        keys
    }

    pub(crate) fn put(&mut self, partition: &str, sort: &str, version: u64, body: String) {
        let text = |text: &str| Attribute::S(text.to_owned());
        let item = Item::from([
            ("pk".to_owned(), text(partition)),
            ("sk".to_owned(), text(sort)),
            ("version".to_owned(), Attribute::N(version.to_string())),
            ("write_id".to_owned(), text("direct")),
            ("body".to_owned(), Attribute::S(body)),
        ]);
        let key = (partition.to_owned(), sort.to_owned());
        self.rows.insert(key, item);
    }
}

/// Returns the text of an attribute; empty if absent.
pub(crate) fn text(item: &Item, name: &str) -> String {
    match item.get(name) {
        Some(Attribute::S(text) | Attribute::N(text)) => text.clone(),
        None => String::new(),
    }
}

fn parse_row(item: &Item) -> Row {
    Row {
        version: text(item, "version").parse().unwrap_or_default(),
        write_id: text(item, "write_id"),
        body: text(item, "body"),
    }
}
