//! Case 13: the store turns one machine away, so that it goes on with an older configuration. It answers
//! the first turn of a line on a route that it does not know, as an older route with a shorter prefix
//! allows, and keeps nothing of it. The next turn, at another machine, gets 404.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_review_3::caller::{Connection, Reply};
use basilramp_review_3::case::{self, BROKEN, HELD, NOT_RUN, Record, lock};
use basilramp_review_3::instance::Instance;
use basilramp_review_3::runner::read_request;
use basilramp_review_3::site::{self, Route};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Advice, whose turns carry their whole prompts.
const ADVICE: Route = Route {
    name: "advice",
    kind: "stream",
    service: "engine",
    timeout_ms: 4_000,
    max_attempts: 2,
    is_resumable: false,
    is_retained: false,
};

/// Advice that is remembered, in the newer configuration.
const REMEMBERED: Route = Route {
    name: "advice/remembered",
    is_retained: true,
    ..ADVICE
};

/// Programs, each with one line of turns on the newer route.
const PROGRAMS: usize = 6;

/// Programs that ran before, so that the machine knows the size of a turn.
const EARLIER_PROGRAMS: usize = 24;

/// Events of a turn.
const EVENTS: usize = 8;

/// Time from the beginning of the disruption to the newer configuration.
const CONFIG_AFTER: Duration = Duration::from_millis(1_000);

/// Time from the acknowledgement of the configuration to the turns; `config_apply_ms` is 2,000.
const TURNS_AFTER: Duration = Duration::from_millis(2_500);

/// Time from the first turns of the lines to their second ones.
const PAUSE: Duration = Duration::from_millis(150);

/// Time from the second turns to the end of the disruption.
const END_AFTER: Duration = Duration::from_millis(1_000);

/// What the runners ran: the body by attempt id.
type Runs = Arc<Mutex<BTreeMap<String, String>>>;

fn main() {
    case::run(|record, has_trouble| async move {
        match run(&record, has_trouble).await {
            Ok(code) => code,
            Err(error) => {
                record.line(error);
                NOT_RUN
            }
        }
    })
}

async fn run(record: &Record, has_trouble: bool) -> Result<i32, String> {
    let store = site::start_store(&site::config(3, &[ADVICE])).await?;
    let runs = Runs::default();
    for name in ["i-1", "i-2", "i-3"] {
        let address = start_runner(name, &runs, record).await?;
        site::register(&store, name, "engine", address, "ready", 1);
    }
    let view = store.open_view().await?;
    let served = Instance::start("front-a-1", "z1", store.address()).await?;
    let turned_away = Instance::start("front-b-1", "z1", view.address()).await?;
    let _third = Instance::start("front-c-1", "z1", store.address()).await?;
    for number in 0..EARLIER_PROGRAMS {
        let program = format!("e{number}");
        let turn = Turn::first(&program, "main", "/advice/x");
        let mut connection = open(turned_away.callers).await?;
        turn.send(&mut connection, record).await?;
    }
    // The first turn of each program, on a connection that is kept.
    let mut connections = Vec::new();
    for number in 0..PROGRAMS {
        let program = format!("p{number}");
        let turn = Turn::first(&program, "main", "/advice/x");
        let mut connection = open(turned_away.callers).await?;
        let (status, is_whole) = turn.send(&mut connection, record).await?;
        if status != 200 || !is_whole {
            return Err("a first turn was not served".into());
        }
        connections.push(connection);
    }
    if has_trouble {
        record.line("the store turns front-b-1 away");
        view.set_rejecting(true);
    }
    tokio::time::sleep(CONFIG_AFTER).await;
    site::put_config(&store, &site::config(7, &[ADVICE, REMEMBERED]));
    record.line("configuration 7 is acknowledged; it adds a route whose turns are kept");
    tokio::time::sleep(TURNS_AFTER).await;
    record.line(format!(
        "front-b-1 is ready: {}",
        turned_away.is_ready().await
    ));
    // Each program starts a sub-agent, whose line of turns begins at the same machine.
    let mut begun = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let program = format!("p{number}");
        let record = record.clone();
        begun.push(tokio::spawn(async move {
            let turn = Turn::first(&program, "sub", "/advice/remembered/x");
            let answer = turn.send(&mut connection, &record).await;
            (program, turn.attempt, answer)
        }));
    }
    let mut whole = Vec::new();
    for turn in begun {
        let (program, attempt, answer) = turn.await.map_err(|error| error.to_string())?;
        if answer? == (200, true) {
            whole.push((program, attempt));
        }
    }
    tokio::time::sleep(PAUSE).await;
    // Their second turns arrive at the machine that the store serves.
    let (mut lost, mut wrong) = (0, 0);
    for (program, previous) in &whole {
        let turn = Turn {
            previous: Some(previous.clone()),
            attempt: format!("{program}-sub-2"),
            ..Turn::first(program, "sub", "/advice/remembered/x")
        };
        let mut connection = open(served.callers).await?;
        let (status, _) = turn.send(&mut connection, record).await?;
        if status == 404 || status == 410 {
            lost += 1;
            record.line(format!(
                "LOST: {} was answered {status}; it continues {previous}, which was answered whole",
                turn.attempt
            ));
        }
        let body = lock(&runs).get(&turn.attempt).cloned();
        if body.is_some_and(|body| body != turn.expected_body()) {
            wrong += 1;
            record.line(format!("UNASKED: {} ran with another body", turn.attempt));
        }
    }
    tokio::time::sleep(END_AFTER).await;
    view.set_rejecting(false);
    record.line("the store serves front-b-1");
    record.line(format!(
        "{PROGRAMS} lines, {} first turns answered whole, {lost} second turns lost, {wrong} with another body",
        whole.len()
    ));
    if !has_trouble && whole.len() < PROGRAMS {
        return Err("not all first turns of the lines were served".into());
    }
    Ok(if lost + wrong > 0 { BROKEN } else { HELD })
}

async fn open(address: SocketAddr) -> Result<Connection, String> {
    Connection::open(address)
        .await
        .ok_or_else(|| "no connection".to_owned())
}

/// A turn of a program.
struct Turn {
    program: String,
    session: &'static str,
    path: &'static str,
    attempt: String,
    previous: Option<String>,
}

impl Turn {
    /// Returns the first turn of a line.
    fn first(program: &str, session: &'static str, path: &'static str) -> Self {
        Self {
            program: program.to_owned(),
            session,
            path,
            attempt: format!("{program}-{session}-1"),
            previous: None,
        }
    }

    fn input(&self) -> String {
        format!("input of {};", self.attempt)
    }

    /// Returns what a runner has to get: the previous turn's input and events, then the input.
    fn expected_body(&self) -> String {
        let previous = self.previous.as_ref().map_or_else(String::new, |previous| {
            let events: String = (1..=EVENTS)
                .map(|id| format!("{}\n", event_data(previous, id)))
                .collect();
            format!("input of {previous};{events}")
        });
        previous + &self.input()
    }

    async fn send(
        &self,
        connection: &mut Connection,
        record: &Record,
    ) -> Result<(u16, bool), String> {
        let reply = connection.send(self.request()?).await;
        let status = reply.as_ref().map_or(0, |reply| reply.status.as_u16());
        let is_whole = reply.is_some_and(|reply| is_whole(&reply));
        record.line(format!(
            "{} on {} after {:?}: {status}, whole: {is_whole}",
            self.attempt, self.path, self.previous
        ));
        Ok((status, is_whole))
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::post(self.path)
            .header("host", "a.example")
            .header("attempt-id", &self.attempt)
            .header("program-id", &self.program)
            .header("session-id", format!("{}-{}", self.program, self.session))
            .header("program-deadline-ms", "20000")
            .header("token-budget", "1088")
            .header("token-usage", "1840,136")
            .header("model", "m")
            .header("prompt-prefix", "5c1e07a2:800,91bd3f06:410")
            .header("deadline-ms", "4000");
        if let Some(previous) = &self.previous {
            request = request.header("previous-turn", previous);
        }
        let request = request.body(Full::from(self.input()));
        request.map_err(|error| error.to_string())
    }
}

fn is_whole(reply: &Reply) -> bool {
    reply.is_complete && reply.body.matches("\n\n").count() == EVENTS
}

fn event_data(attempt: &str, id: usize) -> String {
    format!("{attempt} says {id}")
}

async fn start_runner(
    name: &'static str,
    runs: &Runs,
    record: &Record,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (runs, record) = (Arc::clone(runs), record.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(name, Arc::clone(&runs), record.clone(), stream));
        }
    });
    Ok(address)
}

async fn serve(name: &'static str, runs: Runs, record: Record, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(arrival) = read_request(&mut stream).await {
        let id = arrival.header("attempt-id").to_owned();
        if arrival.header("expect-instance") != name {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream
                .get_mut()
                .write_all(refusal.as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        let body = String::from_utf8_lossy(&arrival.body).into_owned();
        record.line(format!("{name} runs {id}: {body:?}"));
        lock(&runs).insert(id.clone(), body);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {name}.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.get_mut().write_all(head.as_bytes()).await.is_err() {
            return;
        }
        for event in 1..=EVENTS {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let text = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.get_mut().write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
        }
        if stream.get_mut().write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}
