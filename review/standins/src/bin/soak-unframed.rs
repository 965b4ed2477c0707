//! Not a case: answers with neither a length nor chunks, over connections that end in several ways
//! (MIXED, ORDER). Arguments: folder.

use review_standins::http::Request;
use review_standins::runner::{Ending, Plan};
use review_standins::site::{model_service, plain_route, plain_service, stream_route};
use review_standins::{Runner, Site, sleep_ms};
use serde_json::json;

#[tokio::main]
async fn main() {
    let routes = json!([
        plain_route("/order/", "unsafe", "shop-api", 2_000),
        plain_route("/read/", "safe", "shop-api", 1_200),
        stream_route("/advice/", "lm-pool", false, true),
        stream_route("/talk/", "lm-pool", false, false),
    ]);
    let services = json!([plain_service("shop-api"), model_service("lm-pool")]);
    let site = Site::start(&routes, &services);
    let record = site.record.clone();
    let mut runners = Vec::new();
    for at in 0..8 {
        let service = if at % 2 == 0 { "shop-api" } else { "lm-pool" };
        let (id, plan) = (format!("i-{at}"), Plan::default());
        runners.push(Runner::start(&record, &site.store, &id, service, "v1", plan).await);
    }
    let (machine, _view) = site.machine("front-a", "z-a").await;
    sleep_ms(2_000).await;
    let mut faults = 0;
    let endings = [
        Ending::Whole,
        Ending::Reset,
        Ending::ResetAfterEvent,
        Ending::InsideEvent,
        Ending::NoEmptyLine,
    ];
    for ending in endings {
        let plan = Plan {
            unframed: Some(ending),
            ..Plan::default()
        };
        runners
            .iter()
            .for_each(|runner| runner.set_plan(plan.clone()));
        for kind in ["order", "read", "advice", "talk"] {
            let is_plain = matches!(kind, "order" | "read");
            if is_plain && matches!(ending, Ending::InsideEvent | Ending::NoEmptyLine) {
                // Nothing tells the end of a plain body.
                continue;
            }
            let (mut complete, mut wrong) = (0, 0);
            for number in 0..10 {
                let attempt = format!("{kind}-{ending:?}-{number}");
                let mut request = Request::new("POST", &format!("/{kind}/x"), &attempt, 2_000);
                if !is_plain {
                    request = request
                        .header("Model", "m")
                        .header("Token-Usage", "1840,32");
                }
                let answer = request.body("x").send(machine.front).await;
                record.line(format!("{attempt}: {}", answer.describe()));
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let ids: Vec<u64> = answer.events().iter().map(|(id, _)| *id).collect();
                let is_whole = if is_plain {
                    text.starts_with(&format!("{attempt} by i-"))
                } else {
                    ids == (1..=8).collect::<Vec<_>>() && text.ends_with("\n\n")
                };
                complete += usize::from(answer.is_ok());
                wrong += usize::from(answer.is_ok() && !is_whole);
            }
            record.say(format!(
                "{kind} {ending:?}: {complete} of 10 complete, {wrong} of them wrong"
            ));
            faults += wrong;
        }
    }
    machine.stop().await;
    site.end(faults > 0, "answers without a length");
}
