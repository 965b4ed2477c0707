//! Requests that must be rejected with the right error kind, without execution and without a change
//! to the program.

#[path = "rejected_requests/raw_http.rs"]
mod raw_http;

use std::net::SocketAddr;

use basilramp_fakes::Launcher;
use basilramp_fakes::caller;
use basilramp_fakes::caller::Failure;
use basilramp_fakes::cluster::{Cluster, Options, name};
use basilramp_wire::api::Program;
use basilramp_wire::error::{Error, Executed, Kind};

/// A deployment of one instance, with a program that has one turn.
struct Fixture {
    cluster: Cluster,
    callers: SocketAddr,
    operators: SocketAddr,
    program: Program,
    rows: usize,
}

impl Fixture {
    async fn start() -> Self {
        let launcher = Launcher {
            program: env!("CARGO_BIN_EXE_basilrampd").into(),
            arguments: Vec::new(),
        };
        let cluster = Cluster::start(Options::new(launcher, 1)).await.unwrap();
        let callers = cluster.caller_address(0).unwrap();
        let operators = cluster.operator_address(0).unwrap();
        let client = cluster.caller(0);
        let budget = caller::program_budget(10_000);
        let program = client.create_root(callers, "r1", budget).await.unwrap();
        let call = caller::call_request("c1", 0, name::LOOKUP, "roof 17");
        client
            .call(callers, &program.id, &call)
            .await
            .result
            .unwrap();
        let program = client.get_program(callers, &program.id).await.unwrap();
        let rows = cluster.platform.rows(&format!("program/{}", program.id));
        Self {
            rows: rows.len(),
            cluster,
            callers,
            operators,
            program,
        }
    }

    /// Posts a call of the program with an arbitrary body.
    async fn post_call(&self, body: &str) -> raw_http::Response {
        let path = format!("/v1/programs/{}/calls", self.program.id);
        raw_http::send(self.callers, "POST", &path, Some("key-trust"), body).await
    }

    /// Asserts the error kind and status of a response, and that the program is unchanged.
    async fn assert_rejected(&self, response: &raw_http::Response, kind: Kind) {
        let error = response.error();
        self.assert_rejected_with(&error, kind).await;
        assert_eq!(response.status, kind.status());
    }

    /// Asserts that an error has a kind and reports no execution, and that the program is unchanged.
    async fn assert_rejected_with(&self, error: &Error, kind: Kind) {
        assert_eq!((error.kind, error.ran), (kind, Executed::No), "{error:?}");
        let client = self.cluster.caller(0);
        let read = client
            .get_program(self.callers, &self.program.id)
            .await
            .unwrap();
        assert_eq!(read, self.program);
        let key = format!("program/{}", self.program.id);
        assert_eq!(self.cluster.platform.rows(&key).len(), self.rows);
    }
}

/// Returns the error with which a request was rejected.
fn rejection_error<T: std::fmt::Debug>(result: Result<T, Failure>) -> Error {
    match result {
        Err(Failure::Rejected(error)) => error,
        other => panic!("the request was not rejected: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_json_is_a_bad_request() {
    let fixture = Fixture::start().await;
    let response = fixture.post_call("{\"request_id\": ").await;
    fixture.assert_rejected(&response, Kind::BadRequest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_field_of_the_wrong_type_is_a_bad_request() {
    let fixture = Fixture::start().await;
    let body = r#"{"request_id":"c2","position":"one","service":"assistant","input":"x"}"#;
    let response = fixture.post_call(body).await;
    fixture.assert_rejected(&response, Kind::BadRequest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_field_is_a_bad_request() {
    let fixture = Fixture::start().await;
    let body = r#"{"request_id":"c2","position":1,"service":"assistant","input":"x","no":1}"#;
    let response = fixture.post_call(body).await;
    fixture.assert_rejected(&response, Kind::BadRequest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_body_is_too_large() {
    let fixture = Fixture::start().await;
    let input = "x".repeat(2 * 1024 * 1024);
    let body =
        format!(r#"{{"request_id":"c2","position":1,"service":"assistant","input":"{input}"}}"#);
    let response = fixture.post_call(&body).await;
    fixture.assert_rejected(&response, Kind::TooLarge).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_program_is_not_found() {
    let fixture = Fixture::start().await;
    for id in ["p0000000000000000", "nonsense", "p12"] {
        let path = format!("/v1/programs/{id}");
        let response = raw_http::send(fixture.callers, "GET", &path, Some("key-trust"), "").await;
        fixture.assert_rejected(&response, Kind::NotFound).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_service_is_not_found() {
    let fixture = Fixture::start().await;
    let body = r#"{"request_id":"c2","position":1,"service":"none","input":"x"}"#;
    let response = fixture.post_call(body).await;
    fixture.assert_rejected(&response, Kind::NotFound).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_accounts_program_is_not_found() {
    let fixture = Fixture::start().await;
    let other_client = fixture.cluster.caller(1);
    let error = rejection_error(
        other_client
            .get_program(fixture.callers, &fixture.program.id)
            .await,
    );
    fixture.assert_rejected_with(&error, Kind::NotFound).await;
    let call = caller::call_request("c2", 1, name::LOOKUP, "roof 18");
    let response = other_client
        .call(fixture.callers, &fixture.program.id, &call)
        .await;
    fixture
        .assert_rejected_with(&rejection_error(response.result), Kind::NotFound)
        .await;
    let error = rejection_error(
        other_client
            .end_program(fixture.callers, &fixture.program.id)
            .await,
    );
    fixture.assert_rejected_with(&error, Kind::NotFound).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_position_is_out_of_order() {
    let fixture = Fixture::start().await;
    for position in [0, 2, u32::MAX] {
        let call = caller::call_request("c2", position, name::LOOKUP, "roof 18");
        let client = fixture.cluster.caller(0);
        let response = client
            .call(fixture.callers, &fixture.program.id, &call)
            .await;
        fixture
            .assert_rejected_with(&rejection_error(response.result), Kind::OutOfOrder)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_id_used_again_for_another_body_is_a_conflict() {
    let fixture = Fixture::start().await;
    let client = fixture.cluster.caller(0);
    let call = caller::call_request("c1", 0, name::LOOKUP, "roof 18");
    let response = client
        .call(fixture.callers, &fixture.program.id, &call)
        .await;
    fixture
        .assert_rejected_with(&rejection_error(response.result), Kind::RequestConflict)
        .await;
    let budget = caller::program_budget(99);
    let error = rejection_error(client.create_root(fixture.callers, "r1", budget).await);
    fixture
        .assert_rejected_with(&error, Kind::RequestConflict)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_or_unknown_key_is_unauthorized() {
    let fixture = Fixture::start().await;
    let path = format!("/v1/programs/{}", fixture.program.id);
    for key in [None, Some("key-nobody"), Some("token-ada")] {
        let response = raw_http::send(fixture.callers, "GET", &path, key, "").await;
        fixture.assert_rejected(&response, Kind::Unauthorized).await;
    }
    for token in [None, Some("key-trust")] {
        let response = raw_http::send(fixture.operators, "GET", "/v1/config", token, "").await;
        fixture.assert_rejected(&response, Kind::Unauthorized).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_path_is_not_found_and_a_wrong_method_not_allowed() {
    let fixture = Fixture::start().await;
    let response = raw_http::send(fixture.callers, "GET", "/v2/none", Some("key-trust"), "").await;
    fixture.assert_rejected(&response, Kind::NotFound).await;
    let response = raw_http::send(
        fixture.callers,
        "PUT",
        "/v1/programs",
        Some("key-trust"),
        "",
    )
    .await;
    fixture
        .assert_rejected(&response, Kind::MethodNotAllowed)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_an_ended_program_is_rejected() {
    let mut fixture = Fixture::start().await;
    let client = fixture.cluster.caller(0);
    client
        .end_program(fixture.callers, &fixture.program.id)
        .await
        .unwrap();
    fixture.program = client
        .get_program(fixture.callers, &fixture.program.id)
        .await
        .unwrap();
    assert_eq!(fixture.program.state, "ended");
    let call = caller::call_request("c2", 1, name::LOOKUP, "roof 18");
    let response = client
        .call(fixture.callers, &fixture.program.id, &call)
        .await;
    fixture
        .assert_rejected_with(&rejection_error(response.result), Kind::Ended)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_exceeds_the_budget_is_rejected() {
    let fixture = Fixture::start().await;
    let client = fixture.cluster.caller(0);
    let mut call = caller::call_request("c2", 1, name::MODEL, "roof 18");
    call.max_tokens = 1_000_000;
    let response = client
        .call(fixture.callers, &fixture.program.id, &call)
        .await;
    fixture
        .assert_rejected_with(&rejection_error(response.result), Kind::BudgetExceeded)
        .await;
}
