//! A machine is killed in the middle of a turn. The client takes the stream up at another machine, and
//! the next turn continues from it.

use review_standins::http::Request;
use review_standins::runner::Plan;
use review_standins::site::{model_service, stream_route};
use review_standins::{Runner, Site, has_trouble, sleep_ms};
use serde_json::json;

const PROGRAMS: usize = 6;
const CLIENT_MS: u64 = 4_000;
const EVENTS: u64 = 20;

#[tokio::main]
async fn main() {
    // A route whose turns are kept and whose streams may be resumed.
    let routes = json!([stream_route("/chat/", "lm-pool", true, true)]);
    let site = Site::start(&routes, &json!([model_service("lm-pool")]));
    let record = site.record.clone();
    let plan = Plan {
        work_ms: 50,
        events: EVENTS,
        ..Plan::default()
    };
    let mut runners = Vec::new();
    for id in ["i-1", "i-2"] {
        let store = &site.store;
        runners.push(Runner::start(&record, store, id, "lm-pool", "v1", plan.clone()).await);
    }
    let (mut front_a, _view_a) = site.machine("front-a", "z-a").await;
    let (front_b, _view_b) = site.machine("front-b", "z-b").await;
    // Traffic starts 10 s after the machines do.
    sleep_ms(10_000).await;
    let (a, b) = (front_a.front, front_b.front);
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        let record = record.clone();
        programs.push(tokio::spawn(async move {
            let name = format!("p{number}");
            let began_ms = record.now_ms();
            let mut turn = format!("{name}-t1");
            let mut answer = turn_request(&name, &turn, "input-1;", CLIENT_MS)
                .send(a)
                .await;
            let mut events = answer.events();
            record.line(format!(
                "{turn}: {} events, {}",
                events.len(),
                answer.describe()
            ));
            if !answer.is_complete {
                // The client takes the stream up again, at another machine.
                let last = events.last().map_or(0, |(id, _)| *id);
                let left_ms = CLIENT_MS.saturating_sub(record.now_ms() - began_ms);
                let first = std::mem::replace(&mut turn, format!("{name}-t1-again"));
                answer = turn_request(&name, &turn, "input-1;", left_ms)
                    .header("Last-Event-Id", last)
                    .header("Resumes", first)
                    .send(b)
                    .await;
                let more = answer.events();
                record.line(format!(
                    "{turn} after event {last}: {} events, {}",
                    more.len(),
                    answer.describe()
                ));
                events.extend(more);
            }
            let is_whole = answer.is_ok() && events.len() as u64 == EVENTS;
            let next = format!("{name}-t2");
            let request = turn_request(&name, &next, "input-2;", CLIENT_MS);
            let answer = request.header("Previous-Turn", &turn).send(b).await;
            record.line(format!("{next} from {turn}: {}", answer.describe()));
            // What the runner is to receive: the chain's inputs and outputs, then the new input.
            let mut expected = "input-1;".to_owned();
            for (_, data) in &events {
                expected.push_str(data);
                expected.push('\n');
            }
            expected.push_str("input-2;");
            (is_whole, next, expected)
        }));
    }
    sleep_ms(500).await;
    if has_trouble() {
        record.line("front-a is killed");
        front_a.kill().await;
    }
    let (mut wrong, mut whole) = (0, 0);
    for program in programs {
        let (is_whole, turn, expected) = program.await.expect("program");
        whole += usize::from(is_whole);
        for run in runners
            .iter()
            .flat_map(Runner::runs)
            .filter(|run| run.attempt == turn)
        {
            let body = String::from_utf8_lossy(&run.body).into_owned();
            let is_wrong = is_whole && body != expected;
            record.line(format!("{turn}: expected {expected:?}"));
            record.line(format!("{turn}: runner {} was given {body:?}", run.runner));
            wrong += usize::from(is_wrong);
        }
    }
    for machine in [front_a, front_b] {
        machine.stop().await;
    }
    let text = format!(
        "of {PROGRAMS} programs, {whole} got their first turn whole; for {wrong} of them a runner ran a \
         second turn whose body is not the first one's input and outputs and then the new input"
    );
    site.end(wrong > 0, &text);
}

fn turn_request(program: &str, attempt: &str, input: &str, wait_ms: u64) -> Request {
    Request::new("POST", "/chat/x", attempt, wait_ms)
        .header("Model", "m")
        .header("Program-Id", program)
        .header("Session-Id", program)
        .header("Program-Deadline-Ms", 20_000)
        .header("Token-Budget", 10_000)
        .header("Token-Usage", "1840,136")
        .header("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
        .body(input)
}
