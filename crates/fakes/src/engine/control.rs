//! The engine's control API: load reports, cache events, holders and orders.

use std::sync::Arc;

use basilramp_wire::engine::{CacheEvents, FENCING_HEADER, Holders, Order};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};

use super::state::{OrderRecord, State};
use super::{Shared, lock};
use crate::http::{HandlerResult, full_response, json_response};

/// Path prefix of a holder; the holder's name follows.
const HOLDER_PATH: &str = "/cache/holders/";

/// Handles a control request.
pub(super) async fn handle(
    shared: Arc<Shared>,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> HandlerResult {
    match (method, uri.path()) {
        (&Method::GET, "/load") => Ok(json_response(StatusCode::OK, &lock(&shared).load.visible())),
        (&Method::GET, "/cache/events") => {
            let events = lock(&shared).cache.events_after(after_parameter(uri));
            Ok(json_response(StatusCode::OK, &CacheEvents { events }))
        }
        (&Method::GET, "/cache/holders") => {
            let holders = lock(&shared).cache.cached_prefixes();
            Ok(json_response(StatusCode::OK, &Holders { holders }))
        }
        (&Method::DELETE, path) if path.starts_with(HOLDER_PATH) => {
            let mut state = lock(&shared);
            state.releases += 1;
            state.cache.release(&path[HOLDER_PATH.len()..]);
            state.publish_load();
            Ok(full_response(StatusCode::NO_CONTENT, Bytes::new()))
        }
        (&Method::POST, "/orders") => handle_order(shared, headers, body).await,
        _ => Ok(full_response(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

/// Returns the `after` query parameter; zero if absent or malformed.
fn after_parameter(uri: &Uri) -> u64 {
    let query = uri.query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="));
    after
        .and_then(|after| after.parse().ok())
        .unwrap_or_default()
}

/// Handles `POST /orders`: checks the fencing number, then loads or unloads the model.
async fn handle_order(shared: Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> HandlerResult {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return Ok(full_response(StatusCode::BAD_REQUEST, "malformed order"));
    };
    let fencing = headers
        .get(FENCING_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let load_duration = {
        let mut state = lock(&shared);
        let accepted = !state.options.checks_fencing || fencing >= state.fencing;
        let order = order.clone();
        state.orders.push(OrderRecord {
            fencing,
            order,
            accepted,
        });
        if !accepted {
            return Ok(full_response(StatusCode::CONFLICT, "old fencing number"));
        }
        state.fencing = state.fencing.max(fencing);
        state.publish_load();
        state.scaled_duration(state.options.model_load_ms as f64)
    };
    let is_load = matches!(order, Order::Load { .. });
    if is_load {
        tokio::time::sleep(load_duration).await;
    }
    apply_order(&mut lock(&shared), order);
    Ok(json_response(StatusCode::OK, &serde_json::json!({})))
}

fn apply_order(state: &mut State, order: Order) {
    match order {
        Order::Load { model } => state.models.insert(model),
        Order::Unload { model } => state.models.remove(&model),
    };
    state.publish_load();
}
