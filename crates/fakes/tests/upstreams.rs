//! The engine and service stand-ins behave like real upstreams and record what they run.

mod http;

use std::time::Duration;

use ::http::Method;
use basilramp_fakes::engine::{self, Engine, Fault, Options, Stage};
use basilramp_fakes::service::{self, Effect};
use basilramp_wire::engine::{
    Chunk, Completion, FENCING_HEADER, HOLDER_HEADER, IDEMPOTENCY_HEADER, LoadReport, Message,
    Order, REQUEST_HEADER, StreamOptions,
};

const MODEL: &str = "base@1";

fn completion(contents: &[&str]) -> Vec<u8> {
    let message = |content: &&str| Message {
        role: "user".to_owned(),
        content: (*content).to_owned(),
    };
    let completion = Completion {
        model: MODEL.to_owned(),
        messages: contents.iter().map(message).collect(),
        max_tokens: 64,
        stream: true,
        stream_options: StreamOptions {
            include_usage: true,
        },
        priority: 0,
    };
    serde_json::to_vec(&completion).expect("serializable body")
}

/// Runs a completion and returns the status and the raw events; `None` if the connection broke.
async fn complete(engine: &Engine, holder: &str, contents: &[&str]) -> Option<(u16, String)> {
    let headers = [(REQUEST_HEADER, "r"), (HOLDER_HEADER, holder)];
    let path = "/v1/chat/completions";
    let body = completion(contents);
    http::exchange(engine.address(), Method::POST, path, &headers, body).await
}

fn chunks(events: &str) -> Vec<Chunk> {
    events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("a chunk"))
        .collect()
}

fn text(chunks: &[Chunk]) -> String {
    let choices = chunks.iter().flat_map(|chunk| &chunk.choices);
    choices
        .filter_map(|choice| choice.delta.content.clone())
        .collect()
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn output_is_deterministic_and_its_prefix_is_cached() {
    let engine = engine::spawn(Options::default());
    let first = "please look this up";
    let (status, events) = complete(&engine, "p1", &[first]).await.expect("a response");
    assert_eq!(status, 200);
    let answer = text(&chunks(&events));
    assert_eq!(answer, engine::completion_text(1, &[first], 64));
    assert!(answer.starts_with(&engine::completion_start(1, first, 64)));
    let second = complete(&engine, "p1", &[first, &answer, "and more"]).await;
    let (_, events) = second.expect("a response");
    let usage = chunks(&events).last().and_then(|chunk| chunk.usage);
    let usage = usage.expect("the usage");
    let cached = engine::count_tokens(first) + engine::count_tokens(&answer);
    assert_eq!(usage.prompt_tokens_details.cached_tokens, cached);
    assert_eq!(
        usage.prompt_tokens,
        cached + engine::count_tokens("and more")
    );
    let other = complete(&engine, "p2", &[first]).await;
    let usage = chunks(&other.expect("a response").1)
        .last()
        .and_then(|chunk| chunk.usage);
    assert_eq!(
        usage.map(|usage| usage.prompt_tokens_details.cached_tokens),
        Some(0)
    );
    let delete = "/cache/holders/p1";
    let released = http::exchange(engine.address(), Method::DELETE, delete, &[], "").await;
    assert_eq!(released.map(|(status, _)| status), Some(204));
    let holders: Vec<_> = engine
        .cached_prefixes()
        .into_iter()
        .map(|prefix| prefix.holder)
        .collect();
    assert_eq!(holders, ["p2"]);
}

#[tokio::test]
async fn full_cache_evicts_the_oldest_prefix() {
    let engine = engine::spawn(Options {
        cache_tokens: 100,
        ..Options::default()
    });
    let long = "x".repeat(160);
    for holder in ["p1", "p2", "p3"] {
        complete(&engine, holder, &[&long])
            .await
            .expect("a response");
    }
    assert!(engine.evictions() > 0);
    assert!(
        engine
            .cached_prefixes()
            .iter()
            .all(|prefix| prefix.holder != "p1")
    );
    let events = http::exchange(
        engine.address(),
        Method::GET,
        "/cache/events?after=0",
        &[],
        "",
    );
    let (_, events) = events.await.expect("the events");
    assert!(events.contains(r#""holder":"p1","tokens":0"#), "{events}");
}

#[tokio::test]
async fn batch_runs_at_most_as_many_requests_as_slots() {
    let engine = engine::spawn(Options {
        slots: 2,
        decode_ms_per_token: 60_000.0,
        speed: 1.0,
        ..Options::default()
    });
    let headers = [(REQUEST_HEADER, "r")];
    let mut responses = Vec::new();
    for _ in 0..3 {
        let path = "/v1/chat/completions";
        let body = completion(&["x"]);
        responses.push(http::send(engine.address(), Method::POST, path, &headers, body).await);
    }
    let stages: Vec<_> = engine.requests().iter().map(|run| run.stage).collect();
    assert_eq!(stages, [Stage::Running, Stage::Running, Stage::Waiting]);
    responses.remove(0);
    wait_until(|| engine.requests()[0].stage == Stage::Cancelled).await;
    assert_eq!(engine.requests()[2].stage, Stage::Running);
    assert!(engine.requests()[0].started);
    let load = http::exchange(engine.address(), Method::GET, "/load", &[], "").await;
    let load: LoadReport =
        serde_json::from_str(&load.expect("a load response").1).expect("a load report");
    assert_eq!((load.running, load.waiting, load.slots), (2, 0, 2));
}

#[tokio::test]
async fn poisoned_request_crashes_the_engine_and_breaks_every_stream() {
    let engine = engine::spawn(Options {
        decode_ms_per_token: 60_000.0,
        speed: 1.0,
        restart_ms: 50,
        ..Options::default()
    });
    complete(&engine, "p0", &["gone when crashed POISON"]).await;
    assert_eq!(engine.crashes(), 1);
    wait_until_available(&engine).await;
    let headers = [(REQUEST_HEADER, "r"), (HOLDER_HEADER, "p1")];
    let path = "/v1/chat/completions";
    let body = completion(&["innocent"]);
    let innocent = http::send(engine.address(), Method::POST, path, &headers, body).await;
    let innocent = innocent.expect("a stream");
    wait_until(|| !engine.cached_prefixes().is_empty()).await;
    assert!(complete(&engine, "p2", &["POISON"]).await.is_none());
    assert!(
        http_body_util::BodyExt::collect(innocent.into_body())
            .await
            .is_err()
    );
    assert_eq!(engine.crashes(), 2);
    assert!(engine.cached_prefixes().is_empty());
    assert!(
        engine
            .requests()
            .iter()
            .all(|run| run.stage == Stage::Broken)
    );
    assert_eq!(wait_until_available(&engine).await.epoch, 3);
}

async fn wait_until_available(engine: &Engine) -> LoadReport {
    loop {
        let load = http::exchange(engine.address(), Method::GET, "/load", &[], "").await;
        if let Some((200, load)) = load {
            return serde_json::from_str(&load).expect("a load report");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn each_fault_affects_one_stream() {
    let engine = engine::spawn(Options::default());
    engine.fault_next(Fault::BreakStream);
    engine.fault_next(Fault::DuplicateEvents);
    assert!(complete(&engine, "p", &["x"]).await.is_none());
    let (_, events) = complete(&engine, "p", &["x"]).await.expect("a response");
    let ids: Vec<_> = events
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    let mut once = ids.clone();
    once.dedup();
    assert_eq!(ids.len(), 2 * once.len());
    assert_eq!(engine.faulted_requests(), 2);
    assert_eq!(engine.crashes(), 0);
}

#[tokio::test]
async fn stale_fencing_number_is_rejected_if_fencing_is_enabled() {
    for fencing in [true, false] {
        let engine = engine::spawn(Options {
            checks_fencing: fencing,
            model_load_ms: 0,
            ..Options::default()
        });
        let order = |model: &str| {
            let model = model.to_owned();
            serde_json::to_vec(&Order::Load { model }).expect("an order")
        };
        let send = async |number: &str, model: &str| {
            let headers = [(FENCING_HEADER, number)];
            let body = order(model);
            let answer =
                http::exchange(engine.address(), Method::POST, "/orders", &headers, body).await;
            answer.expect("a response").0
        };
        assert_eq!(send("7", "new@2").await, 200);
        let late = send("6", "old@1").await;
        assert_eq!(late, if fencing { 409 } else { 200 });
        let has_old = engine.models().contains(&"old@1".to_owned());
        assert_eq!(has_old, !fencing);
    }
}

#[tokio::test]
async fn service_records_effects_and_receipts() {
    let service = service::spawn(service::Options {
        deduplicates_keys: true,
        status_path: Some("/status".to_owned()),
        latency_ms: 0,
    });
    let post = async |key: &str, body: &str| {
        let headers = [(IDEMPOTENCY_HEADER, key), (REQUEST_HEADER, "r")];
        let body = body.to_owned();
        http::exchange(service.address(), Method::POST, "/do", &headers, body).await
    };
    service.fault_next(service::Fault::CloseBeforeEffect);
    service.fault_next(service::Fault::CloseAfterEffect);
    assert_eq!(post("k1", "one").await, None);
    assert_eq!(post("k2", "two").await, None);
    let answer = Some((200, service::response_text("/do", "three")));
    assert_eq!(post("k3", "three").await, answer);
    assert_eq!(post("k3", "three").await, answer);
    let bodies: Vec<Effect> = service.effects();
    let bodies: Vec<_> = bodies.iter().map(|effect| effect.body.as_str()).collect();
    assert_eq!(bodies, ["two", "three"]);
    assert_eq!(service.receipts().len(), 4);
    let status = async |key: &str| {
        let path = format!("/status/{key}");
        http::exchange(service.address(), Method::GET, &path, &[], "").await
    };
    assert_eq!(status("k1").await.map(|(status, _)| status), Some(404));
    assert_eq!(
        status("k2").await,
        Some((200, service::response_text("/do", "two")))
    );
}

#[tokio::test]
async fn delayed_call_takes_effect_after_its_caller_disconnects() {
    let service = service::spawn(service::Options::default());
    service.fault_next(service::Fault::DelayEffect(50));
    let call = http::exchange(service.address(), Method::POST, "/do", &[], "late");
    let waited = tokio::time::timeout(Duration::from_millis(10), call).await;
    assert!(waited.is_err());
    wait_until(|| !service.effects().is_empty()).await;
}
