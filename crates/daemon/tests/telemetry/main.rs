//! Telemetry of running instances: spans, metrics and log lines.

mod collector;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use basilramp_daemon::Event;
use basilramp_fakes::Launcher;
use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, Options, name};
use collector::{Collector, Span};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Timeout of a wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const INSTANCES: usize = 3;

async fn start(settings: Value) -> Cluster {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, INSTANCES);
    options.settings = settings;
    Cluster::start(options).await.unwrap()
}

async fn wait_for<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends one HTTP/1.1 request and returns the whole response as text.
async fn send(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let text = format!(
        "{head}\r\nhost: basilramp\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

/// Sends one model call to each instance, each with a trace id of its own. Returns the program id.
async fn call_through_each(cluster: &Cluster) -> String {
    let client = cluster.caller(0);
    let first = cluster.caller_address(0).unwrap();
    let program = client
        .create_root(first, "r1", caller::program_budget(10_000))
        .await
        .unwrap();
    for index in 0..INSTANCES {
        let address = cluster.caller_address(index).unwrap();
        run_call(address, &program.id, index, name::MODEL).await;
    }
    program.id
}

/// Sends the call at a position, with the trace id of that position.
async fn run_call(address: SocketAddr, program: &str, position: usize, service: &str) {
    let call = caller::call_request(&format!("c{position}"), position as u32, service, "grit?");
    let head = format!(
        "POST /v1/programs/{program}/calls HTTP/1.1\r\nauthorization: Bearer key-trust\r\n\
         traceparent: 00-{}-{CALLER_SPAN}-01",
        trace_id(position)
    );
    let body = serde_json::to_string(&call).unwrap();
    let response = send(address, &head, &body).await;
    assert!(response.contains("event: final"), "{response}");
}

const CALLER_SPAN: &str = "00000000000000aa";

fn trace_id(index: usize) -> String {
    format!("{:032x}", 0xabc0 + index)
}

/// Span names of a call whose program is owned by the instance that received it.
const LOCAL_HOPS: [&str; 5] = ["commit", "front", "grant", "owner", "upstream"];

fn span_names(spans: &[Span]) -> BTreeSet<&str> {
    spans.iter().map(|span| span.name.as_str()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_hop_of_a_call_has_a_span_in_the_callers_trace() {
    let collector = Collector::bind().await;
    let otlp = collector.address().to_string();
    let cluster = start(json!({"traces": {"otlp": otlp}})).await;
    call_through_each(&cluster).await;

    let mut forwarded = 0;
    for index in 0..INSTANCES {
        let trace = trace_id(index);
        let spans = wait_for("all spans of the trace", async || {
            let spans = collector.spans_of(&trace);
            let names = span_names(&spans);
            let is_complete = LOCAL_HOPS.iter().all(|name| names.contains(name));
            is_complete.then_some(spans)
        })
        .await;
        let ids: BTreeSet<_> = spans.iter().map(|span| span.span_id.as_str()).collect();
        for span in &spans {
            let is_known = ids.contains(span.parent_id.as_str()) || span.parent_id == CALLER_SPAN;
            assert!(
                is_known,
                "the parent of the span is missing: {span:?} of {spans:?}"
            );
        }
        forwarded += usize::from(span_names(&spans).contains("forward"));

        let upstream = spans.iter().find(|span| span.name == "upstream").unwrap();
        let expected = format!("00-{trace}-{}-01", upstream.span_id);
        let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
        let received: Vec<_> = runs.map(|run| run.traceparent).collect();
        assert!(
            received.contains(&expected),
            "{expected} is not in {received:?}"
        );
    }
    // Partitions may still move, so the forwarded calls are not known in advance.
    assert!(forwarded > 0, "no call was forwarded");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_services_get_the_callers_trace() {
    let cluster = start(json!({})).await;
    let program = call_through_each(&cluster).await;
    let address = cluster.caller_address(0).unwrap();
    for (position, service) in [(3, name::LOOKUP), (4, name::REGISTER)] {
        run_call(address, &program, position, service).await;
        let effects = cluster.registry.effects();
        let traces: Vec<_> = effects.iter().map(|effect| &effect.traceparent).collect();
        let expected = format!("00-{}-", trace_id(position));
        let is_sent = traces.iter().any(|trace| trace.starts_with(&expected));
        assert!(is_sent, "{expected} is not in {traces:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_without_a_collector() {
    let listener = tokio::net::TcpSocket::new_v4().unwrap();
    listener.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let otlp = listener.local_addr().unwrap().to_string();
    let cluster = start(json!({"traces": {"otlp": otlp}})).await;
    call_through_each(&cluster).await;
    wait_for("the failed export is logged", async || {
        let lines = log_lines(&cluster);
        let failed = lines.iter().any(|line| line["event"] == "E0109");
        failed.then_some(())
    })
    .await;
}

/// Returns the values of a metric by its labels, summed over all instances.
async fn metric_values(cluster: &Cluster, name: &str) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for index in 0..INSTANCES {
        let address = cluster.operator_address(index).unwrap();
        let text = send(address, "GET /metrics HTTP/1.1", "").await;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        for (labelled, value) in lines.filter_map(|line| line.rsplit_once(' ')) {
            let (found, labels) = labelled.split_once('{').unwrap_or((labelled, ""));
            if found == name {
                let labels = labels.replace("otel_scope_name=\"basilramp\"", "");
                let labels = labels.trim_end_matches(['}', ',']).to_owned();
                *sums.entry(labels).or_insert(0.0) += value.parse::<f64>().unwrap();
            }
        }
    }
    sums
}

async fn metric_sum(cluster: &Cluster, name: &str) -> f64 {
    metric_values(cluster, name).await.values().sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_report_completed_work() {
    let cluster = start(json!({})).await;
    call_through_each(&cluster).await;
    let first = cluster.caller_address(0).unwrap();
    let rejected = cluster
        .caller(0)
        .get_program(first, "p00000000000000ff")
        .await;
    assert!(rejected.is_err());

    let requests = metric_values(&cluster, "basilramp_requests_total").await;
    let expected = BTreeMap::from([
        ("outcome=\"done\",request=\"call\"".to_owned(), 3.0),
        ("outcome=\"done\",request=\"create\"".to_owned(), 1.0),
        ("outcome=\"refused\",request=\"read\"".to_owned(), 1.0),
    ]);
    let sorted = requests.iter().map(|(labels, count)| {
        let mut labels: Vec<_> = labels
            .split(',')
            .filter(|label| !label.is_empty())
            .collect();
        labels.sort_unstable();
        (labels.join(","), *count)
    });
    assert_eq!(sorted.collect::<BTreeMap<_, _>>(), expected);

    let rejections = metric_values(&cluster, "basilramp_refusals_total").await;
    let kinds: Vec<_> = rejections.keys().collect();
    assert!(
        kinds.len() == 1 && kinds[0].contains("kind=\"not_found\""),
        "{kinds:?}"
    );

    let runs: Vec<_> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.requests())
        .collect();
    let output: u64 = runs.iter().map(|run| run.output_tokens).sum();
    let tokens = metric_values(&cluster, "basilramp_tokens_total").await;
    let counted = tokens
        .iter()
        .find(|(labels, _)| labels.contains("kind=\"output\""));
    assert_eq!(counted.map(|(_, count)| *count), Some(output as f64));

    assert_eq!(
        metric_sum(&cluster, "basilramp_call_latency_milliseconds_count").await,
        3.0
    );
    assert_eq!(
        metric_sum(&cluster, "basilramp_call_first_token_milliseconds_count").await,
        3.0
    );
    // Partitions still move for a while after the last instance has joined.
    wait_for("every partition has an owner", async || {
        let owned = metric_sum(&cluster, "basilramp_partitions").await;
        (owned == 1_024.0).then_some(())
    })
    .await;
    assert_eq!(metric_sum(&cluster, "basilramp_lease_valid").await, 3.0);
    assert_eq!(metric_sum(&cluster, "basilramp_programs").await, 1.0);
    assert!(metric_sum(&cluster, "basilramp_forwards_total").await > 0.0);
    assert!(metric_sum(&cluster, "basilramp_commits_total").await > 0.0);
    assert!(metric_sum(&cluster, "basilramp_store_reads_total").await > 0.0);
    assert!(metric_sum(&cluster, "basilramp_store_writes_total").await > 0.0);
    assert!(metric_sum(&cluster, "basilramp_upstream_slots").await > 0.0);
    let operators = cluster.operator_address(0).unwrap();
    let config = cluster.operator(0).get_config(operators).await.unwrap();
    wait_for("every instance has the newest configuration", async || {
        let versions = metric_sum(&cluster, "basilramp_config_version").await;
        (versions == (INSTANCES as u64 * config.version) as f64).then_some(())
    })
    .await;
}

const OPERATIONS_PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

/// Returns the metric names that docs/OPERATIONS.md lists, without labels.
fn documented_metric_names() -> BTreeSet<String> {
    let (_, part) = OPERATIONS_PAGE.split_once("Metrics at `/metrics`").unwrap();
    let part = part.split("\n## ").next().unwrap();
    let rows = part.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.trim_matches('|').split('|').next().unwrap());
    let names = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names
        .map(|name| name.split('{').next().unwrap().to_owned())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operations_page_lists_every_metric() {
    let cluster = start(json!({})).await;
    call_through_each(&cluster).await;
    let first = cluster.caller_address(0).unwrap();
    let rejected = cluster
        .caller(0)
        .get_program(first, "p00000000000000ff")
        .await;
    assert!(rejected.is_err());
    let mut served = BTreeSet::new();
    for index in 0..INSTANCES {
        let address = cluster.operator_address(index).unwrap();
        let text = send(address, "GET /metrics HTTP/1.1", "").await;
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        let names = types.map(|line| line.split(' ').next().unwrap());
        served.extend(names.map(|name| name.trim_start_matches("basilramp_").to_owned()));
    }
    assert_eq!(served, documented_metric_names());
}

fn log_lines(cluster: &Cluster) -> Vec<Value> {
    let processes = cluster.instances.iter();
    let processes = processes.filter_map(|instance| instance.process.as_ref());
    let lines = processes.flat_map(|process| process.output());
    lines
        .map(|line| {
            serde_json::from_str(&line).unwrap_or_else(|_| panic!("not a JSON line: {line}"))
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_log_line_is_a_catalogued_event() {
    let cluster = start(json!({"log": {"level": "debug"}})).await;
    call_through_each(&cluster).await;
    let expected = [
        "E0101", "E0102", "E0301", "E0307", "E0309", "E0401", "E0513", "E0601",
    ];
    let lines = wait_for("every expected event is logged", async || {
        let lines = log_lines(&cluster);
        let was_logged = |code: &&str| lines.iter().any(|line| line["event"] == **code);
        expected.iter().all(was_logged).then_some(lines)
    })
    .await;
    let events: BTreeMap<_, _> = Event::ALL
        .iter()
        .map(|event| (event.code(), event))
        .collect();
    for line in &lines {
        let event = line["event"].as_str().and_then(|code| events.get(code));
        let event = event.unwrap_or_else(|| panic!("the event is not in the catalogue: {line}"));
        assert_eq!(line["msg"], event.message());
        assert_eq!(line["level"], event.level().as_short_str());
        assert!(
            line["ts"].is_string() && line["instance"].is_string(),
            "{line}"
        );
    }
}
