//! The platform stand-in follows the API semantics of the real table, object and list services.

mod http;

use std::time::Duration;

use ::http::Method;
use basilramp_fakes::platform::{self, Entry, Platform, Role, State};
use basilramp_wire::endpoints::EndpointSliceList;
use basilramp_wire::table::{
    Attribute, Delete, ErrorResponse, GET_ITEM, GetItem, GetItemOutput, Item, Put, QUERY,
    QUERY_PREFIX, Query, QueryOutput, ROW_ABSENT, TARGET_HEADER, THROTTLED, TOKEN_MISMATCH,
    TRANSACT_WRITE_ITEMS, TRANSACTION_CANCELED, TransactWriteItem, TransactWriteItems,
    VALIDATION_ERROR, VERSION_EQUALS,
};
use serde::Serialize;

fn key(pk: &str, sk: &str) -> Item {
    let text = |text: &str| Attribute::S(text.to_owned());
    Item::from([("pk".to_owned(), text(pk)), ("sk".to_owned(), text(sk))])
}

fn row(pk: &str, sk: &str, version: u64) -> Item {
    let mut item = key(pk, sk);
    item.insert("version".to_owned(), Attribute::N(version.to_string()));
    item.insert("body".to_owned(), Attribute::S(format!("{pk} {sk}")));
    item
}

fn put(pk: &str, sk: &str, version: u64, condition: Option<&str>) -> TransactWriteItem {
    let before = Attribute::N(version.saturating_sub(1).to_string());
    let values = Item::from([(":v".to_owned(), before)]);
    TransactWriteItem::Put(Put {
        table_name: "t".to_owned(),
        item: row(pk, sk, version),
        condition_expression: condition.map(str::to_owned),
        expression_attribute_values: condition
            .filter(|condition| *condition == VERSION_EQUALS)
            .map(|_| values),
    })
}

async fn send_request(
    platform: &Platform,
    target: &str,
    body: &impl Serialize,
) -> Option<(u16, String)> {
    let body = serde_json::to_vec(body).expect("serializable body");
    let headers = [(TARGET_HEADER, target)];
    http::exchange(platform.table_address(), Method::POST, "/", &headers, body).await
}

/// Sends a transaction. Returns `None` without a response, else the error type, which is empty
/// on success.
async fn transact(
    platform: &Platform,
    token: &str,
    items: Vec<TransactWriteItem>,
) -> Option<String> {
    let body = TransactWriteItems {
        client_request_token: token.to_owned(),
        transact_items: items,
    };
    let (status, body) = send_request(platform, TRANSACT_WRITE_ITEMS, &body).await?;
    if status == 200 {
        return Some(String::new());
    }
    let error: ErrorResponse = serde_json::from_str(&body).expect("an error response");
    Some(error.kind)
}

#[tokio::test]
async fn transaction_is_atomic() {
    let platform = platform::spawn();
    let first = vec![
        put("p", "a", 1, Some(ROW_ABSENT)),
        put("p", "b", 1, Some(ROW_ABSENT)),
    ];
    assert_eq!(transact(&platform, "t1", first).await.as_deref(), Some(""));
    let second = vec![
        put("p", "a", 2, Some(VERSION_EQUALS)),
        put("p", "b", 9, Some(VERSION_EQUALS)),
    ];
    let kind = transact(&platform, "t2", second).await;
    assert_eq!(kind.as_deref(), Some(TRANSACTION_CANCELED));
    assert_eq!(platform.row("p", "a").map(|row| row.version), Some(1));
    let third = vec![
        put("p", "a", 2, Some(VERSION_EQUALS)),
        TransactWriteItem::Delete(Delete {
            table_name: "t".to_owned(),
            key: key("p", "b"),
            condition_expression: None,
            expression_attribute_values: None,
        }),
    ];
    assert_eq!(transact(&platform, "t3", third).await.as_deref(), Some(""));
    assert_eq!(platform.row("p", "a").map(|row| row.version), Some(2));
    assert_eq!(platform.row("p", "b"), None);
}

#[tokio::test]
async fn client_request_token_makes_a_transaction_idempotent() {
    let platform = platform::spawn();
    let items = || vec![put("p", "a", 1, Some(ROW_ABSENT))];
    assert_eq!(transact(&platform, "t", items()).await.as_deref(), Some(""));
    assert_eq!(transact(&platform, "t", items()).await.as_deref(), Some(""));
    assert_eq!(platform.counters().transactions, 1);
    assert_eq!(platform.counters().replayed, 1);
    let other = vec![put("p", "b", 1, None)];
    let kind = transact(&platform, "t", other).await;
    assert_eq!(kind.as_deref(), Some(TOKEN_MISMATCH));
    assert_eq!(platform.row("p", "b"), None);
}

#[tokio::test]
async fn malformed_transactions_are_rejected() {
    let platform = platform::spawn();
    let many = (0..101)
        .map(|n| put("p", &format!("{n}"), 1, None))
        .collect();
    let twice = vec![put("p", "a", 1, None), put("p", "a", 2, None)];
    let unknown = vec![put("p", "a", 1, Some("size(pk) > :v"))];
    for items in [many, twice, unknown, Vec::new()] {
        let kind = transact(&platform, "t", items).await;
        assert_eq!(kind.as_deref(), Some(VALIDATION_ERROR));
    }
    assert_eq!(platform.counters().transactions, 0);
}

#[tokio::test]
async fn query_is_paginated_in_both_directions() {
    let platform = platform::spawn();
    for n in 0..7 {
        platform.put_row("p", &format!("turn/{n}"), 1, &n);
    }
    platform.put_row("p", "head", 1, &0);
    platform.put_row("q", "turn/0", 1, &0);
    for forward in [true, false] {
        let mut read = Vec::new();
        let mut start = None;
        loop {
            let text = |text: &str| Attribute::S(text.to_owned());
            let values = [(":p", "p"), (":s", "turn/")];
            let query = Query {
                table_name: "t".to_owned(),
                key_condition_expression: QUERY_PREFIX.to_owned(),
                expression_attribute_values: values
                    .map(|(name, value)| (name.to_owned(), text(value)))
                    .into(),
                consistent_read: true,
                scan_index_forward: forward,
                limit: 3,
                exclusive_start_key: start,
            };
            let (status, body) = send_request(&platform, QUERY, &query)
                .await
                .expect("a response");
            assert_eq!(status, 200);
            let page: QueryOutput = serde_json::from_str(&body).expect("a query page");
            assert!(page.items.len() <= 3);
            read.extend(page.items.iter().map(|item| item["sk"].clone()));
            start = page.last_evaluated_key;
            if start.is_none() {
                break;
            }
        }
        let mut all: Vec<_> = (0..7).map(|n| Attribute::S(format!("turn/{n}"))).collect();
        if !forward {
            all.reverse();
        }
        assert_eq!(read, all);
    }
}

#[tokio::test]
async fn write_with_a_lost_response_takes_effect() {
    let platform = platform::spawn();
    platform.lose_responses(1);
    let items = || vec![put("p", "a", 1, Some(ROW_ABSENT))];
    assert_eq!(transact(&platform, "t", items()).await, None);
    assert_eq!(platform.row("p", "a").map(|row| row.version), Some(1));
    assert_eq!(transact(&platform, "t", items()).await.as_deref(), Some(""));
    assert_eq!(platform.counters().lost_responses, 1);
}

#[tokio::test]
async fn delayed_write_evaluates_its_condition_when_it_takes_effect() {
    let platform = platform::spawn();
    platform.delay_writes(2, 100);
    let overtaken = vec![put("p", "a", 1, Some(ROW_ABSENT))];
    assert_eq!(transact(&platform, "t1", overtaken).await, None);
    let delayed = vec![put("p", "b", 1, Some(ROW_ABSENT))];
    assert_eq!(transact(&platform, "t2", delayed).await, None);
    assert_eq!(platform.row("p", "a"), None);
    let overtaking = vec![put("p", "a", 5, None)];
    assert_eq!(
        transact(&platform, "t3", overtaking).await.as_deref(),
        Some("")
    );
    while platform.row("p", "b").is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(platform.row("p", "a").map(|row| row.version), Some(5));
}

#[tokio::test]
async fn rate_limits_and_outages_are_enforced() {
    let platform = platform::spawn();
    platform.set_rate_limits(2, 1);
    let mut sent = 0;
    while platform.counters().throttled == 0 {
        let items = vec![put("p", &format!("{sent}"), 1, None)];
        let kind = transact(&platform, &format!("t{sent}"), items).await;
        let kind = kind.expect("a response");
        assert!(kind.is_empty() || kind == THROTTLED);
        sent += 1;
    }
    platform.set_down(true);
    let items = vec![put("p", "x", 1, None)];
    assert_eq!(transact(&platform, "down", items).await, None);
    platform.set_rate_limits(100, 100);
    platform.set_down(false);
    let get = GetItem {
        table_name: "t".to_owned(),
        key: key("p", "0"),
        consistent_read: true,
    };
    let response = loop {
        if let Some(response) = send_request(&platform, GET_ITEM, &get).await {
            break response;
        }
    };
    let output: GetItemOutput = serde_json::from_str(&response.1).expect("a row");
    assert!(output.item.is_some());
    assert_eq!(platform.row("p", "x"), None);
}

#[tokio::test]
async fn objects_are_stored_and_deleted() {
    let platform = platform::spawn();
    let at = platform.objects_address();
    let path = "/bucket/segment/1";
    let put = http::exchange(at, Method::PUT, path, &[], "text").await;
    assert_eq!(put, Some((200, String::new())));
    let get = http::exchange(at, Method::GET, path, &[], "").await;
    assert_eq!(get, Some((200, "text".to_owned())));
    let delete = http::exchange(at, Method::DELETE, path, &[], "").await;
    assert_eq!(delete, Some((204, String::new())));
    let deleted = http::exchange(at, Method::GET, path, &[], "").await;
    assert_eq!(deleted.map(|(status, _)| status), Some(404));
}

#[tokio::test]
async fn endpoint_list_shows_changes_after_its_lag() {
    let platform = platform::spawn();
    platform.put_endpoint(Entry {
        name: "e0".to_owned(),
        role: Role::Engine,
        address: platform.table_address(),
        failure_domain: "a".to_owned(),
        place: "place-a".to_owned(),
        group: String::new(),
        state: State::Ready,
    });
    platform.set_list_lag_ms(3_600_000);
    platform.set_endpoint_state("e0", State::Down);
    let read = async || {
        let path = "/apis/discovery.k8s.io/v1/endpointslices";
        let response = http::exchange(platform.list_address(), Method::GET, path, &[], "").await;
        let (_, body) = response.expect("a response");
        let list: EndpointSliceList = serde_json::from_str(&body).expect("an endpoint list");
        list.items[0].endpoints[0].conditions
    };
    assert!(read().await.ready);
    platform.set_list_lag_ms(0);
    platform.set_endpoint_state("e0", State::Draining);
    assert!(!read().await.ready);
    assert!(read().await.terminating);
}
