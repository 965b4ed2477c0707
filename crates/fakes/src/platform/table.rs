//! The table service's operations, and the object store's.

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
use crate::http::{Answer, Body, Closed, json, whole};

/// The most bytes of rows in one page of a query.
const PAGE_BYTES: usize = 1024 * 1024;

type Shared = Arc<Mutex<Store>>;

fn lock(store: &Shared) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers a request to the table service or the object store, and counts its bytes.
pub(super) async fn handle(store: Shared, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let asked = body.len() as u64;
    let answer = answer(&store, &head, body).await;
    let answered = answer
        .as_ref()
        .map_or(0, |answer| answer.body().size_hint().lower());
    lock(&store).counters.bytes += asked + answered;
    answer
}

async fn answer(store: &Shared, head: &Parts, body: Bytes) -> Answer {
    let slow_ms = lock(store).faults.slow_ms;
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    let target = head.headers.get(TARGET_HEADER);
    match target.and_then(|target| target.to_str().ok()) {
        Some(GET_ITEM) => Ok(get_item(&mut lock(store), &body)),
        Some(QUERY) => Ok(query(&mut lock(store), &body)),
        Some(TRANSACT_WRITE_ITEMS) => transact(store, &body),
        Some(_) => Ok(fault(VALIDATION_ERROR, "unknown operation")),
        None => object(store, &head.method, head.uri.path(), body),
    }
}

fn fault(kind: &str, message: &str) -> Response<Body> {
    let body = ErrorResponse {
        kind: kind.to_owned(),
        message: message.to_owned(),
        reasons: Vec::new(),
    };
    json(StatusCode::BAD_REQUEST, &body)
}

fn throttled(store: &mut Store) -> Response<Body> {
    store.counters.throttled += 1;
    fault(THROTTLED, "over the rate")
}

fn key(item: &Item) -> (String, String) {
    (text(item, "pk"), text(item, "sk"))
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(fault(VALIDATION_ERROR, &error.to_string())))
}

fn get_item(store: &mut Store, body: &Bytes) -> Response<Body> {
    let get: GetItem = match parse(body) {
        Ok(get) => get,
        Err(refusal) => return *refusal,
    };
    if !get.consistent_read {
        return fault(VALIDATION_ERROR, "reads must be consistent");
    }
    if !store.reads.take() {
        return throttled(store);
    }
    store.counters.gets += 1;
    let item = store.rows.get(&key(&get.key)).cloned();
    json(StatusCode::OK, &GetItemOutput { item })
}

fn query(store: &mut Store, body: &Bytes) -> Response<Body> {
    let query: Query = match parse(body) {
        Ok(query) => query,
        Err(refusal) => return *refusal,
    };
    let known = [QUERY_PARTITION, QUERY_PREFIX].contains(&query.key_condition_expression.as_str());
    if !known || query.limit == 0 || !query.consistent_read {
        return fault(
            VALIDATION_ERROR,
            "unknown key condition, no limit, or no consistent read",
        );
    }
    if !store.reads.take() {
        return throttled(store);
    }
    let output = page(store, &query);
    store.counters.queries += 1;
    store.counters.rows += output.items.len() as u64;
    json(StatusCode::OK, &output)
}

/// Returns the page of rows that a query asks for.
fn page(store: &Store, query: &Query) -> QueryOutput {
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
    for (at, item) in matching {
        let before = match &start {
            Some(start) if query.scan_index_forward => at <= start,
            Some(start) => at >= start,
            None => false,
        };
        if before {
            continue;
        }
        if output.items.len() >= query.limit as usize || bytes >= PAGE_BYTES {
            output.last_evaluated_key = output.items.last().map(key_of);
            break;
        }
        bytes += text(item, "body").len();
        output.items.push(item.clone());
    }
    output
}

fn key_of(item: &Item) -> Item {
    item.iter()
        .filter(|(name, _)| ["pk", "sk"].contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Runs a transaction, with the faults that apply to it.
fn transact(store: &Shared, body: &Bytes) -> Answer {
    let transact: TransactWriteItems = match parse(body) {
        Ok(transact) => transact,
        Err(refusal) => return Ok(*refusal),
    };
    let mut locked = lock(store);
    if let Some(message) = malformed(&transact) {
        return Ok(fault(VALIDATION_ERROR, message));
    }
    if !locked.writes.take() {
        return Ok(throttled(&mut locked));
    }
    if let Some(ms) = locked.faults.take_delay() {
        locked.counters.delayed += 1;
        let later = Arc::clone(store);
        let body = body.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            apply(&mut lock(&later), &transact, &body);
        });
        return Err(Closed);
    }
    let answer = apply(&mut locked, &transact, body);
    if answer.status() == StatusCode::OK && locked.faults.take_loss() {
        locked.counters.lost_answers += 1;
        return Err(Closed);
    }
    Ok(answer)
}

/// Returns what is wrong with a transaction's form.
fn malformed(transact: &TransactWriteItems) -> Option<&'static str> {
    let items = &transact.transact_items;
    if transact.client_request_token.is_empty() || transact.client_request_token.len() > 36 {
        return Some("a token has 1 to 36 characters");
    }
    if items.is_empty() || items.len() > MAX_TRANSACT_ITEMS {
        return Some("a transaction has 1 to 100 parts");
    }
    let keys: BTreeSet<_> = items.iter().map(item_key).collect();
    if keys.len() != items.len() {
        return Some("a transaction touches a row once");
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

fn holds(store: &Store, item: &TransactWriteItem) -> bool {
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

/// Makes a transaction take effect, unless its token did so before or a condition fails.
fn apply(store: &mut Store, transact: &TransactWriteItems, body: &Bytes) -> Response<Body> {
    if let Some(earlier) = store.tokens.get(&transact.client_request_token) {
        if earlier != body {
            return fault(
                TOKEN_MISMATCH,
                "the token was used with another transaction",
            );
        }
        store.counters.repeated += 1;
        return json(StatusCode::OK, &serde_json::json!({}));
    }
    let held: Vec<bool> = transact
        .transact_items
        .iter()
        .map(|item| holds(store, item))
        .collect();
    if held.contains(&false) {
        store.counters.refused += 1;
        return canceled(&held);
    }
    for item in &transact.transact_items {
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
    let token = transact.client_request_token.clone();
    if !store.faults.forget_tokens {
        store.tokens.insert(token, body.to_vec());
    }
    store.counters.transactions += 1;
    store.counters.items += transact.transact_items.len() as u64;
    json(StatusCode::OK, &serde_json::json!({}))
}

fn canceled(held: &[bool]) -> Response<Body> {
    let code = |held: &bool| {
        if *held {
            "None"
        } else {
            "ConditionalCheckFailed"
        }
    };
    let reasons = held
        .iter()
        .map(|held| CancellationReason {
            code: code(held).to_owned(),
        })
        .collect();
    let body = ErrorResponse {
        kind: TRANSACTION_CANCELED.to_owned(),
        message: "a condition failed".to_owned(),
        reasons,
    };
    json(StatusCode::BAD_REQUEST, &body)
}

/// Answers `PUT`, `GET` and `DELETE` of `/{bucket}/{key}`.
fn object(store: &Shared, method: &Method, path: &str, body: Bytes) -> Answer {
    let mut store = lock(store);
    let write = matches!(*method, Method::PUT | Method::DELETE);
    let allowed = if write {
        store.writes.take()
    } else {
        store.reads.take()
    };
    if !allowed {
        store.counters.throttled += 1;
        return Ok(whole(StatusCode::SERVICE_UNAVAILABLE, "SlowDown"));
    }
    if !write {
        store.counters.object_reads += 1;
        return Ok(match (method, store.objects.get(path)) {
            (&Method::GET, Some(object)) => whole(StatusCode::OK, object.clone()),
            (&Method::GET, None) => whole(StatusCode::NOT_FOUND, "NoSuchKey"),
            _ => whole(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed"),
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
    if store.faults.take_loss() {
        store.counters.lost_answers += 1;
        return Err(Closed);
    }
    Ok(whole(status, Bytes::new()))
}
