//! The engine's control paths: load, cache events, holders and orders.

use std::sync::Arc;

use basilramp_wire::engine::{CacheEvents, FENCING_HEADER, Holders, Order};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};

use super::state::{Ordered, State};
use super::{Shared, lock};
use crate::http::{Answer, json, whole};

/// Path of a holder, before its name.
const HOLDER_PATH: &str = "/cache/holders/";

/// Answers a control request.
pub(super) async fn handle(
    shared: Arc<Shared>,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> Answer {
    match (method, uri.path()) {
        (&Method::GET, "/load") => Ok(json(StatusCode::OK, &lock(&shared).load.seen())),
        (&Method::GET, "/cache/events") => {
            let events = lock(&shared).cache.events_after(after(uri));
            Ok(json(StatusCode::OK, &CacheEvents { events }))
        }
        (&Method::GET, "/cache/holders") => {
            let holders = lock(&shared).cache.holdings();
            Ok(json(StatusCode::OK, &Holders { holders }))
        }
        (&Method::DELETE, path) if path.starts_with(HOLDER_PATH) => {
            let mut state = lock(&shared);
            state.releases += 1;
            state.cache.release(&path[HOLDER_PATH.len()..]);
            state.publish();
            Ok(whole(StatusCode::NO_CONTENT, Bytes::new()))
        }
        (&Method::POST, "/orders") => order(shared, headers, body).await,
        _ => Ok(whole(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

fn after(uri: &Uri) -> u64 {
    let query = uri.query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="));
    after
        .and_then(|after| after.parse().ok())
        .unwrap_or_default()
}

async fn order(shared: Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Answer {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return Ok(whole(StatusCode::BAD_REQUEST, "malformed order"));
    };
    let fencing = headers
        .get(FENCING_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let load_span = {
        let mut state = lock(&shared);
        let taken = !state.options.fencing || fencing >= state.fencing;
        let order = order.clone();
        state.orders.push(Ordered {
            fencing,
            order,
            taken,
        });
        if !taken {
            return Ok(whole(StatusCode::CONFLICT, "old fencing number"));
        }
        state.fencing = state.fencing.max(fencing);
        state.span(state.options.load_ms as f64)
    };
    let loads = matches!(order, Order::Load { .. });
    if loads {
        tokio::time::sleep(load_span).await;
    }
    obey(&mut lock(&shared), order);
    Ok(json(StatusCode::OK, &serde_json::json!({})))
}

fn obey(state: &mut State, order: Order) {
    match order {
        Order::Load { model } => state.models.insert(model),
        Order::Unload { model } => state.models.remove(&model),
    };
    state.publish();
}
