//! Requests that must be refused: the right kind, not run, nothing changed.

#[path = "front/raw.rs"]
mod raw;

use std::net::SocketAddr;

use basilramp_fakes::Launcher;
use basilramp_fakes::caller;
use basilramp_fakes::caller::Failure;
use basilramp_fakes::cluster::{Cluster, Options, name};
use basilramp_wire::api::Program;
use basilramp_wire::error::{Error, Executed, Kind};

/// One instance with a program of one turn.
struct Bench {
    cluster: Cluster,
    callers: SocketAddr,
    operators: SocketAddr,
    program: Program,
    rows: usize,
}

impl Bench {
    async fn start() -> Self {
        let launcher = Launcher {
            program: env!("CARGO_BIN_EXE_basilrampd").into(),
            arguments: Vec::new(),
        };
        let cluster = Cluster::start(Options::new(launcher, 1)).await.unwrap();
        let callers = cluster.caller_address(0).unwrap();
        let operators = cluster.operator_address(0).unwrap();
        let trust = cluster.caller(0);
        let budget = caller::program_budget(10_000);
        let program = trust.create_root(callers, "r1", budget).await.unwrap();
        let call = caller::call_request("c1", 0, name::LOOKUP, "roof 17");
        trust
            .call(callers, &program.id, &call)
            .await
            .result
            .unwrap();
        let program = trust.get_program(callers, &program.id).await.unwrap();
        let rows = cluster.platform.rows(&format!("program/{}", program.id));
        Self {
            rows: rows.len(),
            cluster,
            callers,
            operators,
            program,
        }
    }

    /// Posts a call of the program with any body.
    async fn post_call(&self, body: &str) -> raw::Answer {
        let path = format!("/v1/programs/{}/calls", self.program.id);
        raw::send(self.callers, "POST", &path, Some("key-trust"), body).await
    }

    /// Checks a refusal, and that the program is as it was.
    async fn refused(&self, answer: &raw::Answer, kind: Kind) {
        let error = answer.error();
        self.refused_with(&error, kind).await;
        assert_eq!(answer.status, kind.status());
    }

    async fn refused_with(&self, error: &Error, kind: Kind) {
        assert_eq!((error.kind, error.ran), (kind, Executed::No), "{error:?}");
        let trust = self.cluster.caller(0);
        let read = trust
            .get_program(self.callers, &self.program.id)
            .await
            .unwrap();
        assert_eq!(read, self.program);
        let key = format!("program/{}", self.program.id);
        assert_eq!(self.cluster.platform.rows(&key).len(), self.rows);
    }
}

/// Returns the error that a client was refused with.
fn refusal<T: std::fmt::Debug>(result: Result<T, Failure>) -> Error {
    match result {
        Err(Failure::Rejected(error)) => error,
        other => panic!("not refused: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_json_is_a_bad_request() {
    let bench = Bench::start().await;
    let answer = bench.post_call("{\"request_id\": ").await;
    bench.refused(&answer, Kind::BadRequest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_type_is_a_bad_request() {
    let bench = Bench::start().await;
    let body = r#"{"request_id":"c2","position":"one","service":"assistant","input":"x"}"#;
    let answer = bench.post_call(body).await;
    bench.refused(&answer, Kind::BadRequest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_field_is_a_bad_request() {
    let bench = Bench::start().await;
    let body = r#"{"request_id":"c2","position":1,"service":"assistant","input":"x","no":1}"#;
    let answer = bench.post_call(body).await;
    bench.refused(&answer, Kind::BadRequest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_huge_body_is_too_large() {
    let bench = Bench::start().await;
    let input = "x".repeat(2 * 1024 * 1024);
    let body =
        format!(r#"{{"request_id":"c2","position":1,"service":"assistant","input":"{input}"}}"#);
    let answer = bench.post_call(&body).await;
    bench.refused(&answer, Kind::TooLarge).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_program_is_not_found() {
    let bench = Bench::start().await;
    for id in ["p0000000000000000", "nonsense", "p12"] {
        let path = format!("/v1/programs/{id}");
        let answer = raw::send(bench.callers, "GET", &path, Some("key-trust"), "").await;
        bench.refused(&answer, Kind::NotFound).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_service_is_not_found() {
    let bench = Bench::start().await;
    let body = r#"{"request_id":"c2","position":1,"service":"none","input":"x"}"#;
    let answer = bench.post_call(body).await;
    bench.refused(&answer, Kind::NotFound).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_accounts_program_is_not_found() {
    let bench = Bench::start().await;
    let atlas = bench.cluster.caller(1);
    let error = refusal(atlas.get_program(bench.callers, &bench.program.id).await);
    bench.refused_with(&error, Kind::NotFound).await;
    let call = caller::call_request("c2", 1, name::LOOKUP, "roof 18");
    let answer = atlas.call(bench.callers, &bench.program.id, &call).await;
    bench
        .refused_with(&refusal(answer.result), Kind::NotFound)
        .await;
    let error = refusal(atlas.end_program(bench.callers, &bench.program.id).await);
    bench.refused_with(&error, Kind::NotFound).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_position_is_out_of_order() {
    let bench = Bench::start().await;
    for position in [0, 2, u32::MAX] {
        let call = caller::call_request("c2", position, name::LOOKUP, "roof 18");
        let trust = bench.cluster.caller(0);
        let answer = trust.call(bench.callers, &bench.program.id, &call).await;
        bench
            .refused_with(&refusal(answer.result), Kind::OutOfOrder)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_id_used_again_for_another_body_is_a_conflict() {
    let bench = Bench::start().await;
    let trust = bench.cluster.caller(0);
    let call = caller::call_request("c1", 0, name::LOOKUP, "roof 18");
    let answer = trust.call(bench.callers, &bench.program.id, &call).await;
    bench
        .refused_with(&refusal(answer.result), Kind::RequestConflict)
        .await;
    let budget = caller::program_budget(99);
    let error = refusal(trust.create_root(bench.callers, "r1", budget).await);
    bench.refused_with(&error, Kind::RequestConflict).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_or_unknown_key_is_unauthorized() {
    let bench = Bench::start().await;
    let path = format!("/v1/programs/{}", bench.program.id);
    for key in [None, Some("key-nobody"), Some("token-ada")] {
        let answer = raw::send(bench.callers, "GET", &path, key, "").await;
        bench.refused(&answer, Kind::Unauthorized).await;
    }
    for token in [None, Some("key-trust")] {
        let answer = raw::send(bench.operators, "GET", "/v1/config", token, "").await;
        bench.refused(&answer, Kind::Unauthorized).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_path_is_not_found_and_a_wrong_method_not_allowed() {
    let bench = Bench::start().await;
    let answer = raw::send(bench.callers, "GET", "/v2/none", Some("key-trust"), "").await;
    bench.refused(&answer, Kind::NotFound).await;
    let answer = raw::send(bench.callers, "PUT", "/v1/programs", Some("key-trust"), "").await;
    bench.refused(&answer, Kind::MethodNotAllowed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_an_ended_program_is_refused() {
    let mut bench = Bench::start().await;
    let trust = bench.cluster.caller(0);
    trust
        .end_program(bench.callers, &bench.program.id)
        .await
        .unwrap();
    bench.program = trust
        .get_program(bench.callers, &bench.program.id)
        .await
        .unwrap();
    assert_eq!(bench.program.state, "ended");
    let call = caller::call_request("c2", 1, name::LOOKUP, "roof 18");
    let answer = trust.call(bench.callers, &bench.program.id, &call).await;
    bench
        .refused_with(&refusal(answer.result), Kind::Ended)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_beyond_the_budget_is_refused() {
    let bench = Bench::start().await;
    let trust = bench.cluster.caller(0);
    let mut call = caller::call_request("c2", 1, name::MODEL, "roof 18");
    call.max_tokens = 1_000_000;
    let answer = trust.call(bench.callers, &bench.program.id, &call).await;
    bench
        .refused_with(&refusal(answer.result), Kind::BudgetExceeded)
        .await;
}
