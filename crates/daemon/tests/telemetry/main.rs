//! What a running instance tells about itself: spans, metrics and log lines.

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

/// The longest wait for something that has to come.
const WAIT: Duration = Duration::from_secs(30);

/// Time between two looks for it.
const POLL: Duration = Duration::from_millis(50);

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

async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let limit = Instant::now() + WAIT;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < limit, "{what} did not come");
        sleep(POLL).await;
    }
}

/// Sends one HTTP request and returns the answer's text.
async fn send(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let text = format!(
        "{head}\r\nhost: basilramp\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Runs one call of a model through each instance, under a trace of its own, and returns the
/// program.
async fn call_through_each(cluster: &Cluster) -> String {
    let trust = cluster.caller(0);
    let first = cluster.caller_address(0).unwrap();
    let program = trust
        .create_root(first, "r1", caller::program_budget(10_000))
        .await
        .unwrap();
    for index in 0..INSTANCES {
        let at = cluster.caller_address(index).unwrap();
        call(at, &program.id, index, name::MODEL).await;
    }
    program.id
}

/// Runs the call at a position, under the trace of its number.
async fn call(at: SocketAddr, program: &str, position: usize, service: &str) {
    let call = caller::call_request(&format!("c{position}"), position as u32, service, "grit?");
    let head = format!(
        "POST /v1/programs/{program}/calls HTTP/1.1\r\nauthorization: Bearer key-trust\r\n\
         traceparent: 00-{}-{CALLER_SPAN}-01",
        trace_id(position)
    );
    let body = serde_json::to_string(&call).unwrap();
    let answer = send(at, &head, &body).await;
    assert!(answer.contains("event: final"), "{answer}");
}

const CALLER_SPAN: &str = "00000000000000aa";

fn trace_id(index: usize) -> String {
    format!("{:032x}", 0xabc0 + index)
}

/// The hops of a call whose program is owned by the instance that took it.
const OWN: [&str; 5] = ["commit", "front", "grant", "owner", "upstream"];

fn names(spans: &[Span]) -> BTreeSet<&str> {
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
        let spans = until("a whole trace", async || {
            let spans = collector.trace(&trace);
            let names = names(&spans);
            let is_whole = OWN.iter().all(|name| names.contains(name));
            is_whole.then_some(spans)
        })
        .await;
        let ids: BTreeSet<_> = spans.iter().map(|span| span.id.as_str()).collect();
        for span in &spans {
            let is_known = ids.contains(span.parent.as_str()) || span.parent == CALLER_SPAN;
            assert!(is_known, "a span without its parent: {span:?} of {spans:?}");
        }
        forwarded += usize::from(names(&spans).contains("forward"));

        let upstream = spans.iter().find(|span| span.name == "upstream").unwrap();
        let expected = format!("00-{trace}-{}-01", upstream.id);
        let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
        let seen: Vec<_> = runs.map(|run| run.traceparent).collect();
        assert!(seen.contains(&expected), "{expected} is not in {seen:?}");
    }
    // Partitions may still move, so which calls were forwarded is open.
    assert!(forwarded > 0, "no call was forwarded");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_services_get_the_callers_trace() {
    let cluster = start(json!({})).await;
    let program = call_through_each(&cluster).await;
    let at = cluster.caller_address(0).unwrap();
    for (position, service) in [(3, name::LOOKUP), (4, name::REGISTER)] {
        call(at, &program, position, service).await;
        let effects = cluster.registry.effects();
        let traces: Vec<_> = effects.iter().map(|effect| &effect.traceparent).collect();
        let expected = format!("00-{}-", trace_id(position));
        let is_sent = traces.iter().any(|trace| trace.starts_with(&expected));
        assert!(is_sent, "{expected} is not in {traces:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_go_on_without_a_collector() {
    let listener = tokio::net::TcpSocket::new_v4().unwrap();
    listener.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let otlp = listener.local_addr().unwrap().to_string();
    let cluster = start(json!({"traces": {"otlp": otlp}})).await;
    call_through_each(&cluster).await;
    until("the logged failure", async || {
        let lines = all_lines(&cluster);
        let failed = lines.iter().any(|line| line["event"] == "E0109");
        failed.then_some(())
    })
    .await;
}

/// Returns a metric's values by its labels, summed over all instances.
async fn metric(cluster: &Cluster, name: &str) -> BTreeMap<String, f64> {
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

async fn total(cluster: &Cluster, name: &str) -> f64 {
    metric(cluster, name).await.values().sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_what_was_done() {
    let cluster = start(json!({})).await;
    call_through_each(&cluster).await;
    let first = cluster.caller_address(0).unwrap();
    let refused = cluster
        .caller(0)
        .get_program(first, "p00000000000000ff")
        .await;
    assert!(refused.is_err());

    let requests = metric(&cluster, "basilramp_requests_total").await;
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

    let refusals = metric(&cluster, "basilramp_refusals_total").await;
    let kinds: Vec<_> = refusals.keys().collect();
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
    let tokens = metric(&cluster, "basilramp_tokens_total").await;
    let counted = tokens
        .iter()
        .find(|(labels, _)| labels.contains("kind=\"output\""));
    assert_eq!(counted.map(|(_, count)| *count), Some(output as f64));

    assert_eq!(
        total(&cluster, "basilramp_call_latency_milliseconds_count").await,
        3.0
    );
    assert_eq!(
        total(&cluster, "basilramp_call_first_token_milliseconds_count").await,
        3.0
    );
    // Partitions move for a while after the last instance has joined.
    until("an owner of every partition", async || {
        let owned = total(&cluster, "basilramp_partitions").await;
        (owned == 1_024.0).then_some(())
    })
    .await;
    assert_eq!(total(&cluster, "basilramp_lease_valid").await, 3.0);
    assert_eq!(total(&cluster, "basilramp_programs").await, 1.0);
    assert!(total(&cluster, "basilramp_forwards_total").await > 0.0);
    assert!(total(&cluster, "basilramp_commits_total").await > 0.0);
    assert!(total(&cluster, "basilramp_store_reads_total").await > 0.0);
    assert!(total(&cluster, "basilramp_store_writes_total").await > 0.0);
    assert!(total(&cluster, "basilramp_upstream_slots").await > 0.0);
    let operators = cluster.operator_address(0).unwrap();
    let config = cluster.operator(0).get_config(operators).await.unwrap();
    until("the newest configuration everywhere", async || {
        let versions = total(&cluster, "basilramp_config_version").await;
        (versions == (INSTANCES as u64 * config.version) as f64).then_some(())
    })
    .await;
}

const OPERATIONS: &str = include_str!("../../../../docs/OPERATIONS.md");

/// Returns the names that the page lists, without labels.
fn names_of_the_page() -> BTreeSet<String> {
    let (_, part) = OPERATIONS.split_once("Metrics at `/metrics`").unwrap();
    let part = part.split("\n## ").next().unwrap();
    let rows = part.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.trim_matches('|').split('|').next().unwrap());
    let names = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names
        .map(|name| name.split('{').next().unwrap().to_owned())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_page_lists_every_metric() {
    let cluster = start(json!({})).await;
    call_through_each(&cluster).await;
    let first = cluster.caller_address(0).unwrap();
    let refused = cluster
        .caller(0)
        .get_program(first, "p00000000000000ff")
        .await;
    assert!(refused.is_err());
    let mut served = BTreeSet::new();
    for index in 0..INSTANCES {
        let address = cluster.operator_address(index).unwrap();
        let text = send(address, "GET /metrics HTTP/1.1", "").await;
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        let names = types.map(|line| line.split(' ').next().unwrap());
        served.extend(names.map(|name| name.trim_start_matches("basilramp_").to_owned()));
    }
    assert_eq!(served, names_of_the_page());
}

fn all_lines(cluster: &Cluster) -> Vec<Value> {
    let processes = cluster.instances.iter();
    let processes = processes.filter_map(|instance| instance.process.as_ref());
    let lines = processes.flat_map(|process| process.output());
    lines
        .map(|line| serde_json::from_str(&line).unwrap_or_else(|_| panic!("no JSON: {line}")))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lines_are_events_of_the_catalogue() {
    let cluster = start(json!({"log": {"level": "debug"}})).await;
    call_through_each(&cluster).await;
    let wanted = [
        "E0101", "E0102", "E0301", "E0307", "E0309", "E0401", "E0513", "E0601",
    ];
    let lines = until("every wanted event", async || {
        let lines = all_lines(&cluster);
        let has = |code: &&str| lines.iter().any(|line| line["event"] == **code);
        wanted.iter().all(has).then_some(lines)
    })
    .await;
    let events: BTreeMap<_, _> = Event::ALL
        .iter()
        .map(|event| (event.code(), event))
        .collect();
    for line in &lines {
        let event = line["event"].as_str().and_then(|code| events.get(code));
        let event = event.unwrap_or_else(|| panic!("no event of the list: {line}"));
        assert_eq!(line["msg"], event.message());
        assert_eq!(line["level"], event.level().as_short_str());
        assert!(
            line["ts"].is_string() && line["instance"].is_string(),
            "{line}"
        );
    }
}
