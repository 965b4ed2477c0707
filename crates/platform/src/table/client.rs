//! Sends operations to the table service.
//!
//! A transaction is sent at most once per call; a read is retried once on a broken connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ::http::{Request, StatusCode, header};
use basilramp_wire::table;
use basilramp_wire::table::{
    CONTENT_TYPE, GET_ITEM, GetItem, GetItemOutput, Item, QUERY, QUERY_PARTITION, QUERY_PREFIX,
    Query, QueryOutput, TARGET_HEADER, THROTTLED, TOKEN_MISMATCH, TRANSACT_WRITE_ITEMS,
    TRANSACTION_CANCELED, TransactWriteItems, VALIDATION_ERROR,
};
use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Failure, Key, Order, Page, Row, Write, codec};
use crate::http::{Pool, Response, SendError};

const DEFAULT_TIMEOUT_MS: u64 = 1_500;
const QUERY_PAGE_ROWS: u32 = 1_024;

/// Client of one table.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
    table_name: Arc<str>,
    timeout_ms: u64,
    counts: Arc<RequestCounts>,
}

/// Requests sent by a client and its clones.
#[derive(Debug, Default)]
struct RequestCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub fn open(address: SocketAddr, table_name: impl Into<Arc<str>>) -> Self {
        Self {
            pool: Pool::new(),
            address,
            table_name: table_name.into(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            counts: Arc::default(),
        }
    }

    /// Returns the number of reads sent by this client and its clones.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.counts.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of transactions sent by this client and its clones.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.counts.writes.load(Ordering::Relaxed)
    }

    /// Returns a client that shares the connections but has a request timeout of `timeout_ms`
    /// milliseconds.
    #[must_use]
    pub fn with_timeout(&self, timeout_ms: u64) -> Self {
        Self {
            timeout_ms,
            ..self.clone()
        }
    }

    /// Reads one row, strongly consistent.
    ///
    /// # Errors
    ///
    /// Any [`Failure`] except [`Failure::ConditionsFailed`]; a read can be retried.
    pub async fn get(&self, key: &Key) -> Result<Option<Row>, Failure> {
        let body = GetItem {
            table_name: self.table_name.to_string(),
            key: codec::key_item(key),
            consistent_read: true,
        };
        let output: GetItemOutput = self.send_read(GET_ITEM, &body).await?;
        output.item.map(|item| decode_row(&item)).transpose()
    }

    /// Reads a page of rows whose sort keys start with `prefix`, strongly consistent.
    ///
    /// The page starts after the sort key `after` and has at most `limit` rows.
    ///
    /// # Errors
    ///
    /// Any [`Failure`] except [`Failure::ConditionsFailed`]; a read can be retried.
    pub async fn query(
        &self,
        partition: &str,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
        order: Order,
    ) -> Result<Page, Failure> {
        let mut values = Item::from([(":p".to_owned(), codec::string_attribute(partition))]);
        let mut condition = QUERY_PARTITION;
        if !prefix.is_empty() {
            condition = QUERY_PREFIX;
            values.insert(":s".to_owned(), codec::string_attribute(prefix));
        }
        let body = Query {
            table_name: self.table_name.to_string(),
            key_condition_expression: condition.to_owned(),
            expression_attribute_values: values,
            consistent_read: true,
            scan_index_forward: order == Order::Ascending,
            limit,
            exclusive_start_key: after.map(|sort| codec::key_item(&Key::new(partition, sort))),
        };
        let output: QueryOutput = self.send_read(QUERY, &body).await?;
        let rows: Result<Vec<Row>, Failure> = output.items.iter().map(decode_row).collect();
        Ok(Page {
            rows: rows?,
            has_more: output.last_evaluated_key.is_some(),
        })
    }

    /// Reads all rows of a partition whose sort keys start with `prefix`.
    ///
    /// The pages are read one after the other, so the rows are not a consistent snapshot.
    ///
    /// # Errors
    ///
    /// Any [`Failure`] except [`Failure::ConditionsFailed`]; a read can be retried.
    pub async fn query_all(&self, partition: &str, prefix: &str) -> Result<Vec<Row>, Failure> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.sort.clone());
            let after = after.as_deref();
            let page = self
                .query(partition, prefix, after, QUERY_PAGE_ROWS, Order::Ascending)
                .await?;
            let empty = page.rows.is_empty();
            rows.extend(page.rows);
            if !page.has_more || empty {
                return Ok(rows);
            }
        }
    }

    /// Applies all writes atomically. With the same token, a transaction takes effect at most once.
    ///
    /// The token is stored as the write id of the rows that the transaction puts.
    ///
    /// # Errors
    ///
    /// After [`Failure::Unknown`] the transaction may have taken effect or may still do so. After
    /// any other failure, this attempt has not taken effect and never will.
    pub async fn transact(&self, token: &str, writes: &[Write]) -> Result<(), Failure> {
        let items = writes
            .iter()
            .map(|write| codec::transact_item(&self.table_name, token, write));
        let body = TransactWriteItems {
            client_request_token: token.to_owned(),
            transact_items: items.collect(),
        };
        self.send(TRANSACT_WRITE_ITEMS, &body).await.map(|_| ())
    }

    /// Sends a read and retries it once if the connection breaks.
    async fn send_read<T: DeserializeOwned>(
        &self,
        target: &'static str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let response = match self.send_once(target, body).await? {
            // The pooled connection may have been stale, and reads are safe to retry.
            Err(SendError::ConnectionBroken) => self.send(target, body).await?,
            Err(error) => return Err(to_failure(error)),
            Ok(response) => check_status(response)?,
        };
        serde_json::from_slice(&response).map_err(|_| Failure::Unknown)
    }

    async fn send(&self, target: &'static str, body: &impl Serialize) -> Result<Bytes, Failure> {
        let response = self.send_once(target, body).await?;
        check_status(response.map_err(to_failure)?)
    }

    /// Counts and sends a request. The outer error is a request that can't be built.
    async fn send_once(
        &self,
        target: &'static str,
        body: &impl Serialize,
    ) -> Result<Result<Response, SendError>, Failure> {
        let request = self.build_request(target, body)?;
        let count = match target {
            TRANSACT_WRITE_ITEMS => &self.counts.writes,
            _ => &self.counts.reads,
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(self.pool.send(request, self.timeout_ms).await)
    }

    fn build_request(
        &self,
        target: &'static str,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let body = serde_json::to_vec(body).map_err(invalid_request)?;
        Request::post(format!("http://{}/", self.address))
            .header(header::CONTENT_TYPE, CONTENT_TYPE)
            .header(TARGET_HEADER, target)
            .body(Full::new(body.into()))
            .map_err(invalid_request)
    }
}

fn decode_row(item: &Item) -> Result<Row, Failure> {
    codec::decode_row(item).ok_or_else(|| Failure::Invalid("a row lacks an attribute".into()))
}

fn invalid_request(error: impl std::fmt::Display) -> Failure {
    Failure::Invalid(error.to_string().into())
}

fn to_failure(error: SendError) -> Failure {
    match error {
        SendError::ConnectFailed => Failure::NotSent,
        SendError::ConnectionBroken | SendError::TimedOut => Failure::Unknown,
    }
}

fn check_status(response: Response) -> Result<Bytes, Failure> {
    match response.status {
        StatusCode::OK => Ok(response.body),
        StatusCode::BAD_REQUEST => Err(parse_error(&response.body)),
        _ => Err(Failure::Unknown),
    }
}

/// Parses an error response. An unknown error type leaves the outcome unknown.
fn parse_error(body: &[u8]) -> Failure {
    let Ok(error) = serde_json::from_slice::<table::ErrorResponse>(body) else {
        return Failure::Unknown;
    };
    match error.kind.as_str() {
        TRANSACTION_CANCELED => Failure::ConditionsFailed(failed_conditions(&error)),
        THROTTLED => Failure::Throttled,
        VALIDATION_ERROR | TOKEN_MISMATCH => Failure::Invalid(error.message.into()),
        _ => Failure::Unknown,
    }
}

fn failed_conditions(error: &table::ErrorResponse) -> Vec<usize> {
    let reasons = error.reasons.iter().enumerate();
    reasons
        .filter(|(_, reason)| reason.code != "None")
        .map(|(index, _)| index)
        .collect()
}
