//! Not a case: programs whose turns come through several machines, while the store loses answers, is
//! slow, or lacks partitions, and machines are killed. Looks for wrong bodies (UNASKED), lost turns
//! (LOST) and spent budgets (BUDGET). Arguments: folder, seed, seconds.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use review_standins::http::Request;
use review_standins::runner::Plan;
use review_standins::site::{model_service, stream_route};
use review_standins::{Record, Runner, Site, lock, sleep_ms};
use serde_json::json;

const EVENTS: u64 = 12;
const MAX_TURN: u64 = EVENTS * 4;
const BUDGET: u64 = 14 * MAX_TURN;

type Fronts = Arc<Mutex<Vec<SocketAddr>>>;

#[derive(Debug, Default)]
struct Findings {
    expected: Vec<(String, String)>,
    faults: Vec<String>,
    whole: usize,
    failed: usize,
    spent: usize,
    most: u64,
}

#[tokio::main]
async fn main() {
    let number = |at: usize| std::env::args().nth(at).and_then(|text| text.parse().ok());
    let seed: u64 = number(2).unwrap_or(1);
    let seconds: u64 = number(3).unwrap_or(40);
    let routes = json!([stream_route("/chat/", "lm-pool", true, false)]);
    let site = Site::start(&routes, &json!([model_service("lm-pool")]));
    let record = site.record.clone();
    let plan = Plan {
        work_ms: 15,
        events: EVENTS,
        ..Plan::default()
    };
    let mut runners = Vec::new();
    for at in 0..4 {
        let id = format!("i-{at}");
        runners.push(Runner::start(&record, &site.store, &id, "lm-pool", "v1", plan.clone()).await);
    }
    let mut machines = Vec::new();
    for at in 0..4 {
        machines.push(
            site.machine(&format!("front-{at}"), &format!("z-{at}"))
                .await,
        );
    }
    let fronts: Fronts = Arc::new(Mutex::new(machines.iter().map(|(m, _)| m.front).collect()));
    let findings: Arc<Mutex<Findings>> = Arc::default();
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let (fronts, findings) = (Arc::clone(&fronts), Arc::clone(&findings));
            tokio::spawn(run_client(client, seed, record.clone(), fronts, findings))
        })
        .collect();
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut random = move |bound: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % bound
    };
    let until = record.now_ms() + seconds * 1_000;
    while record.now_ms() < until {
        sleep_ms(500 + random(1_500)).await;
        let at = random(4) as usize;
        match random(6) {
            0 => site.store.set_lost(35, 0),
            1 => site.store.set_lost(0, 35),
            2 => site.store.set_slowness(60),
            3 => site
                .store
                .set_unavailable(Some(['0', '3', '7', 'a', 'e'][random(5) as usize])),
            4 => machines[at].1.set_rejecting(true),
            _ => {
                record.line(format!("front-{at} is killed"));
                machines[at].0.kill().await;
                let name = format!("front-{at}");
                let view = machines[at].1.clone();
                machines[at].0 = site.machine_with(&name, &format!("z-{at}"), &view).await;
                lock(&fronts)[at] = machines[at].0.front;
            }
        }
        sleep_ms(1_000 + random(3_000)).await;
        site.store.set_lost(0, 0);
        site.store.set_slowness(1);
        site.store.set_unavailable(None);
        machines
            .iter()
            .for_each(|(_, view)| view.set_rejecting(false));
    }
    for client in clients {
        client.abort();
    }
    sleep_ms(1_500).await;
    let mut findings = std::mem::take(&mut *lock(&findings));
    let runs: Vec<_> = runners.iter().flat_map(Runner::runs).collect();
    for (attempt, expected) in &findings.expected {
        for run in runs.iter().filter(|run| run.attempt == *attempt) {
            if run.body != expected.as_bytes() {
                let body = String::from_utf8_lossy(&run.body).into_owned();
                findings.faults.push(format!(
                    "{attempt} expected {expected:?}, was given {body:?}"
                ));
            }
        }
    }
    record.say(format!(
        "{} turns whole, {} failed, {} programs spent their budget, the most was {} of {BUDGET} + \
         {MAX_TURN}",
        findings.whole, findings.failed, findings.spent, findings.most
    ));
    findings.faults.iter().for_each(|fault| record.say(fault));
    for (machine, _) in machines {
        machine.stop().await;
    }
    let count = findings.faults.len();
    site.end(count > 0, &format!("{count} faults with seed {seed}"));
}

async fn run_client(
    client: u64,
    seed: u64,
    record: Record,
    fronts: Fronts,
    findings: Arc<Mutex<Findings>>,
) {
    let mut state = seed.wrapping_mul(31).wrapping_add(client * 7_919 + 17) | 1;
    let mut random = move |bound: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % bound
    };
    for program in 0.. {
        let name = format!("p{client}-{program}");
        let (mut previous, mut prompt, mut tokens) = (None::<String>, String::new(), 0);
        for turn in 0..60 {
            sleep_ms(random(60)).await;
            let front = {
                let fronts = lock(&fronts);
                fronts[random(fronts.len() as u64) as usize]
            };
            let attempt = format!("{name}-t{turn}");
            let input = format!("in{turn};");
            let mut request = Request::new("POST", "/chat/x", &attempt, 4_000)
                .header("Model", "m")
                .header("Program-Id", &name)
                .header("Session-Id", &name)
                .header("Token-Budget", BUDGET)
                .header("Token-Usage", format!("1840,{MAX_TURN}"))
                .header("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
                .body(input.clone());
            if let Some(previous) = &previous {
                request = request.header("Previous-Turn", previous);
            }
            let expected = format!("{prompt}{input}");
            lock(&findings)
                .expected
                .push((attempt.clone(), expected.clone()));
            let answer = request.send(front).await;
            let events = answer.events();
            tokens += events.len() as u64 * 4;
            record.line(format!(
                "{attempt}: {} events, {}",
                events.len(),
                answer.describe()
            ));
            let mut found = lock(&findings);
            found.most = found.most.max(tokens);
            if tokens > BUDGET + MAX_TURN {
                found.faults.push(format!("{name} got {tokens} tokens"));
            }
            if matches!(answer.status, 404 | 410) {
                found
                    .faults
                    .push(format!("{attempt} was answered {}", answer.status));
            }
            if answer.status == 402 {
                found.spent += 1;
                break;
            }
            if answer.is_ok() {
                found.whole += 1;
                prompt = expected;
                for (_, data) in &events {
                    prompt.push_str(data);
                    prompt.push('\n');
                }
                previous = Some(attempt);
            } else {
                found.failed += 1;
            }
        }
    }
}
