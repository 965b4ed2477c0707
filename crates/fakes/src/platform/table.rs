//! Operations of the table service and of the object store.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_wire::table::{
    CancellationReason, ErrorResponse, GET_ITEM, GetItem, GetItemOutput, Item, MAX_TRANSACT_ITEMS,
    QUERY, QUERY_PARTITION, QUERY_PREFIX, Query, QueryOutput, ROW_ABSENT, ROW_EXISTS,
    TARGET_HEADER, THROTTLED, TOKEN_MISMATCH, TRANSACT_WRITE_ITEMS, TRANSACTION_CANCELED,
    TransactWriteItem, TransactWriteItems, VALIDATION_ERROR, VERSION_EQUALS,
};
use bytes::Bytes;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::store::{Store, text};
use crate::http::{Body, ConnectionClosed, HandlerResult, full_response, json_response};

/// Row bytes after which a query page ends.
const PAGE_BYTES: usize = 1024 * 1024;

type Shared = Arc<Mutex<Store>>;

fn lock(store: &Shared) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handles a request to the table service or the object store, and counts its bytes.
pub(super) async fn handle(store: Shared, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let request_bytes = body.len() as u64;
    let response = dispatch(&store, &parts, body).await;
    let response_bytes = response
        .as_ref()
        .map_or(0, |response| response.body().size_hint().lower());
    lock(&store).counters.bytes += request_bytes + response_bytes;
    response
}

async fn dispatch(store: &Shared, parts: &Parts, body: Bytes) -> HandlerResult {
    let latency_ms = lock(store).faults.latency_ms;
    if latency_ms > 0 {
        tokio::time::sleep(Duration::from_millis(latency_ms)).await;
    }
    let target = parts.headers.get(TARGET_HEADER);
    match target.and_then(|target| target.to_str().ok()) {
        Some(GET_ITEM) => Ok(get_item(&mut lock(store), &body)),
        Some(QUERY) => Ok(query(&mut lock(store), &body)),
        Some(TRANSACT_WRITE_ITEMS) => transact_write(store, &body),
        Some(_) => Ok(error_response(VALIDATION_ERROR, "unknown operation")),
        None => handle_object(store, &parts.method, parts.uri.path(), body),
    }
}

fn error_response(kind: &str, message: &str) -> Response<Body> {
    let body = ErrorResponse {
        kind: kind.to_owned(),
        message: message.to_owned(),
        reasons: Vec::new(),
    };
    json_response(StatusCode::BAD_REQUEST, &body)
}

fn throttled_response(store: &mut Store) -> Response<Body> {
    store.counters.throttled += 1;
    error_response(THROTTLED, "rate limit exceeded")
}

fn key(item: &Item) -> (String, String) {
    (text(item, "pk"), text(item, "sk"))
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(error_response(VALIDATION_ERROR, &error.to_string())))
}

fn get_item(store: &mut Store, body: &Bytes) -> Response<Body> {
    let get: GetItem = match parse(body) {
        Ok(get) => get,
        Err(rejection) => return *rejection,
    };
    if !get.consistent_read {
        return error_response(VALIDATION_ERROR, "reads must be consistent");
    }
    if !store.reads.try_take() {
        return throttled_response(store);
    }
    store.counters.gets += 1;
    let item = store.rows.get(&key(&get.key)).cloned();
    json_response(StatusCode::OK, &GetItemOutput { item })
}

fn query(store: &mut Store, body: &Bytes) -> Response<Body> {
    let query: Query = match parse(body) {
        Ok(query) => query,
        Err(rejection) => return *rejection,
    };
    let is_supported =
        [QUERY_PARTITION, QUERY_PREFIX].contains(&query.key_condition_expression.as_str());
    if !is_supported || query.limit == 0 || !query.consistent_read {
        return error_response(
            VALIDATION_ERROR,
            "unknown key condition, no limit, or no consistent read",
        );
    }
    if !store.reads.try_take() {
        return throttled_response(store);
    }
    let output = query_page(store, &query);
    store.counters.queries += 1;
    store.counters.query_rows += output.items.len() as u64;
    json_response(StatusCode::OK, &output)
}

/// Returns the requested page of rows.
fn query_page(store: &Store, query: &Query) -> QueryOutput {
    let partition = text(&query.expression_attribute_values, ":p");
    let prefix = text(&query.expression_attribute_values, ":s");
    let start = query.exclusive_start_key.as_ref().map(key);
    let first = (partition.clone(), prefix.clone());
    let mut matching: Vec<_> = store
        .rows
        .range(first..)
        .take_while(|((pk, sk), _)| *pk == partition && sk.starts_with(&prefix))
        .collect();
    if !query.scan_index_forward {
        matching.reverse();
    }
    let mut output = QueryOutput::default();
    let mut bytes = 0;
    for (row_key, item) in matching {
        let is_skipped = match &start {
            Some(start) if query.scan_index_forward => row_key <= start,
            Some(start) => row_key >= start,
            None => false,
        };
        if is_skipped {
            continue;
        }
        if output.items.len() >= query.limit as usize || bytes >= PAGE_BYTES {
            output.last_evaluated_key = output.items.last().map(key_attributes);
            break;
        }
        bytes += text(item, "body").len();
        output.items.push(item.clone());
    }
    output
}

/// Returns only the key attributes of a row.
fn key_attributes(item: &Item) -> Item {
    item.iter()
        .filter(|(name, _)| ["pk", "sk"].contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Runs a transaction with the injected faults.
fn transact_write(store: &Shared, body: &Bytes) -> HandlerResult {
    let transaction: TransactWriteItems = match parse(body) {
        Ok(transaction) => transaction,
        Err(rejection) => return Ok(*rejection),
    };
    let mut locked_store = lock(store);
    if let Some(message) = validation_error(&transaction) {
        return Ok(error_response(VALIDATION_ERROR, message));
    }
    if !locked_store.writes.try_take() {
        return Ok(throttled_response(&mut locked_store));
    }
    if let Some(ms) = locked_store.faults.next_write_delay() {
        locked_store.counters.delayed += 1;
        let store = Arc::clone(store);
        let body = body.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            apply(&mut lock(&store), &transaction, &body);
        });
        return Err(ConnectionClosed);
    }
    let response = apply(&mut locked_store, &transaction, body);
    if response.status() == StatusCode::OK && locked_store.faults.next_response_is_lost() {
        locked_store.counters.lost_responses += 1;
        return Err(ConnectionClosed);
    }
    Ok(response)
}

/// Returns the reason why a transaction is invalid, if it is.
fn validation_error(transaction: &TransactWriteItems) -> Option<&'static str> {
    let items = &transaction.transact_items;
    if transaction.client_request_token.is_empty() || transaction.client_request_token.len() > 36 {
        return Some("a token has 1 to 36 characters");
    }
    if items.is_empty() || items.len() > MAX_TRANSACT_ITEMS {
        return Some("a transaction has 1 to 100 items");
    }
    let keys: BTreeSet<_> = items.iter().map(item_key).collect();
    if keys.len() != items.len() {
        return Some("a transaction must not access a row twice");
    }
    if keys.iter().any(|(pk, sk)| pk.is_empty() || sk.is_empty()) {
        return Some("a key is missing");
    }
    let known = [ROW_ABSENT, ROW_EXISTS, VERSION_EQUALS];
    let unknown = items
        .iter()
        .filter_map(|item| condition(item).0)
        .any(|condition| !known.contains(&condition));
    unknown.then_some("unknown condition")
}

fn item_key(item: &TransactWriteItem) -> (String, String) {
    match item {
        TransactWriteItem::Put(put) => key(&put.item),
        TransactWriteItem::Delete(delete) => key(&delete.key),
        TransactWriteItem::ConditionCheck(check) => key(&check.key),
    }
}

/// Returns the condition expression of an item and its values.
fn condition(item: &TransactWriteItem) -> (Option<&str>, Option<&Item>) {
    match item {
        TransactWriteItem::Put(put) => (
            put.condition_expression.as_deref(),
            put.expression_attribute_values.as_ref(),
        ),
        TransactWriteItem::Delete(delete) => (
            delete.condition_expression.as_deref(),
            delete.expression_attribute_values.as_ref(),
        ),
        TransactWriteItem::ConditionCheck(check) => (
            Some(&check.condition_expression),
            check.expression_attribute_values.as_ref(),
        ),
    }
}

/// Returns whether the condition of an item holds.
fn condition_holds(store: &Store, item: &TransactWriteItem) -> bool {
    let row = store.rows.get(&item_key(item));
    let (condition, values) = condition(item);
    match condition {
        None => true,
        Some(ROW_ABSENT) => row.is_none(),
        Some(ROW_EXISTS) => row.is_some(),
        Some(_) => match (row, values) {
            (Some(row), Some(values)) => text(row, "version") == text(values, ":v"),
            _ => false,
        },
    }
}

/// Applies a transaction, unless its token was already used or a condition fails.
fn apply(store: &mut Store, transaction: &TransactWriteItems, body: &Bytes) -> Response<Body> {
    if let Some(earlier) = store.tokens.get(&transaction.client_request_token) {
        if earlier != body {
            return error_response(
                TOKEN_MISMATCH,
                "the token was used with another transaction",
            );
        }
        store.counters.replayed += 1;
        return json_response(StatusCode::OK, &serde_json::json!({}));
    }
    let outcomes: Vec<bool> = transaction
        .transact_items
        .iter()
        .map(|item| condition_holds(store, item))
        .collect();
    if outcomes.contains(&false) {
        store.counters.condition_failures += 1;
        return canceled_response(&outcomes);
    }
    for item in &transaction.transact_items {
        match item {
            TransactWriteItem::Put(put) => {
                store.rows.insert(key(&put.item), put.item.clone());
            }
            TransactWriteItem::Delete(delete) => {
                store.rows.remove(&key(&delete.key));
            }
            TransactWriteItem::ConditionCheck(_) => {}
        }
    }
    let token = transaction.client_request_token.clone();
    if !store.faults.discard_tokens {
        store.tokens.insert(token, body.to_vec());
    }
    store.counters.transactions += 1;
    store.counters.transaction_items += transaction.transact_items.len() as u64;
    json_response(StatusCode::OK, &serde_json::json!({}))
}

/// Returns the error response that reports the outcome of each item's condition.
fn canceled_response(outcomes: &[bool]) -> Response<Body> {
    let code = |holds: &bool| {
        if *holds {
            "None"
        } else {
            "ConditionalCheckFailed"
        }
    };
    let reasons = outcomes
        .iter()
        .map(|holds| CancellationReason {
            code: code(holds).to_owned(),
        })
        .collect();
    let body = ErrorResponse {
        kind: TRANSACTION_CANCELED.to_owned(),
        message: "a condition failed".to_owned(),
        reasons,
    };
    json_response(StatusCode::BAD_REQUEST, &body)
}

/// Handles `PUT`, `GET` and `DELETE` of `/{bucket}/{key}`.
fn handle_object(store: &Shared, method: &Method, path: &str, body: Bytes) -> HandlerResult {
    let mut store = lock(store);
    let write = matches!(*method, Method::PUT | Method::DELETE);
    let allowed = if write {
        store.writes.try_take()
    } else {
        store.reads.try_take()
    };
    if !allowed {
        store.counters.throttled += 1;
        return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "SlowDown"));
    }
    if !write {
        store.counters.object_reads += 1;
        return Ok(match (method, store.objects.get(path)) {
            (&Method::GET, Some(object)) => full_response(StatusCode::OK, object.clone()),
            (&Method::GET, None) => full_response(StatusCode::NOT_FOUND, "NoSuchKey"),
            _ => full_response(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed"),
        });
    }
    store.counters.object_writes += 1;
    let status = if *method == Method::PUT {
        store.objects.insert(path.to_owned(), body);
        StatusCode::OK
    } else {
        store.objects.remove(path);
        StatusCode::NO_CONTENT
    };
    if store.faults.next_response_is_lost() {
        store.counters.lost_responses += 1;
        return Err(ConnectionClosed);
    }
    Ok(full_response(status, Bytes::new()))
}
