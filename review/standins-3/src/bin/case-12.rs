//! Case 12: the store turns one machine away, so that it goes on with an older configuration, in which the
//! path of an order belongs to a route whose requests may be repeated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_review_3::caller::{self, Connection};
use basilramp_review_3::case::{self, BROKEN, HELD, NOT_RUN, Record, lock};
use basilramp_review_3::instance::Instance;
use basilramp_review_3::runner::read_request;
use basilramp_review_3::site::{self, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Reads of the shop, which may be repeated.
const SHOP: Route = Route {
    name: "shop",
    ..site::READ
};

/// Orders, in the newer configuration. They must run once at most.
const ORDER: Route = Route {
    name: "shop/order",
    kind: "unsafe",
    timeout_ms: 3_000,
    max_attempts: 1,
    ..site::READ
};

/// Orders at each of the two machines.
const ORDERS: usize = 12;

/// Work of a read and of an order at a runner.
const READ_WORK: Duration = Duration::from_millis(26);
const ORDER_WORK: Duration = Duration::from_millis(590);

/// Time from the beginning of the disruption to the newer configuration.
const CONFIG_AFTER: Duration = Duration::from_millis(1_000);

/// Time from the acknowledgement of the configuration to the orders; `config_apply_ms` is 2,000.
const ORDERS_AFTER: Duration = Duration::from_millis(2_500);

/// Time from the orders to the end of the disruption. It lasts 5.5 s in all.
const END_AFTER: Duration = Duration::from_millis(2_000);

/// What the runners began to run: the runners by attempt id.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

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
    let store = site::start_store(&site::config(3, &[SHOP])).await?;
    let runs = Runs::default();
    for name in ["i-1", "i-2", "i-3"] {
        let address = start_runner(name, &runs, record).await?;
        site::register(&store, name, "app", address, "ready", 1);
    }
    let view = store.open_view().await?;
    let served = Instance::start("front-a-1", "z1", store.address()).await?;
    let turned_away = Instance::start("front-b-1", "z1", view.address()).await?;
    let _third = Instance::start("front-c-1", "z1", store.address()).await?;
    let mut at_served = open_connections("a", served.callers, record).await?;
    let mut at_turned_away = open_connections("b", turned_away.callers, record).await?;
    if has_trouble {
        record.line("the store turns front-b-1 away");
        view.set_rejecting(true);
    }
    tokio::time::sleep(CONFIG_AFTER).await;
    site::put_config(&store, &site::config(7, &[SHOP, ORDER]));
    record.line("configuration 7 is acknowledged; it adds an unsafe route");
    tokio::time::sleep(ORDERS_AFTER).await;
    record.line(format!("front-a-1 is ready: {}", served.is_ready().await));
    record.line(format!(
        "front-b-1 is ready: {}",
        turned_away.is_ready().await
    ));
    let first = send_orders("a", &mut at_served, record);
    let second = send_orders("b", &mut at_turned_away, record);
    let (first, second) = tokio::join!(first, second);
    tokio::time::sleep(END_AFTER).await;
    view.set_rejecting(false);
    record.line("the store serves front-b-1");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = lock(&runs).clone();
    let (mut served, mut twice) = (0, 0);
    for (attempt, status) in first.iter().chain(&second) {
        let runners = runs.get(attempt).cloned().unwrap_or_default();
        served += usize::from(*status == 200);
        if runners.len() > 1 {
            twice += 1;
            record.line(format!(
                "TWICE: {attempt} ran at {runners:?}, answered {status}"
            ));
        }
    }
    record.line(format!(
        "{} orders, {served} served, {twice} ran more than once",
        2 * ORDERS
    ));
    if first.iter().any(|(_, status)| *status != 200) {
        return Err("not all orders at the machine that the store serves were served".into());
    }
    Ok(if twice > 0 { BROKEN } else { HELD })
}

/// Opens connections, each with one read, as clients keep them open for many requests.
async fn open_connections(
    name: &str,
    address: SocketAddr,
    record: &Record,
) -> Result<Vec<Connection>, String> {
    let mut connections = Vec::new();
    for number in 0..ORDERS {
        let id = format!("{name}-read-{number}");
        let mut connection = Connection::open(address).await.ok_or("no connection")?;
        let reply = connection
            .send(caller::plain("GET", "/shop/x", &id, 1_200, ""))
            .await;
        let reply = reply.ok_or("a read was not answered")?;
        record.line(format!("answered {id} {}", reply.status.as_u16()));
        if !reply.status.is_success() {
            return Err("a read was not served".into());
        }
        connections.push(connection);
    }
    Ok(connections)
}

/// Sends an order on each connection at the same time. Returns the status of each attempt.
async fn send_orders(
    name: &str,
    connections: &mut Vec<Connection>,
    record: &Record,
) -> Vec<(String, u16)> {
    let mut orders = Vec::new();
    for (number, mut connection) in connections.drain(..).enumerate() {
        let id = format!("{name}-order-{number}");
        let record = record.clone();
        orders.push(tokio::spawn(async move {
            record.line(format!("sent {id}"));
            let body = format!("order {number}");
            let request = caller::plain("POST", "/shop/order/x", &id, 3_000, &body);
            let reply = connection.send(request).await;
            let status = reply.map_or(0, |reply| reply.status.as_u16());
            record.line(format!("answered {id} {status}"));
            (id, status)
        }));
    }
    let mut answers = Vec::new();
    for order in orders {
        answers.extend(order.await.ok());
    }
    answers
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
        let answer = if arrival.header("expect-instance") == name {
            lock(&runs)
                .entry(id.clone())
                .or_default()
                .push(name.to_owned());
            record.line(format!("{name} begins to run {id}"));
            let work = if arrival.path.starts_with("/shop/order/") {
                ORDER_WORK
            } else {
                READ_WORK
            };
            // Most runners drop a request when its connection closes.
            let mut byte = [0];
            let closed = stream.read(&mut byte);
            if tokio::time::timeout(work, closed).await.is_ok() {
                record.line(format!("{name} drops {id}: its connection was closed"));
                return;
            }
            record.line(format!("{name} has run {id}"));
            let body = format!("done {id}");
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {name}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
