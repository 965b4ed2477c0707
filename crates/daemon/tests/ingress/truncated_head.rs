//! Upstreams that stop in the middle of the head of a response. No caller gets a success from it.

use std::sync::{Arc, Mutex};

use basilramp_fakes::user_platform::Store;
use http::StatusCode;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::scripted_upstream::{read_request, register};
use crate::support::{Instance, Turn, configure, plain_request};

/// What the upstream sends and how it ends the connection then.
#[derive(Clone, Debug, Default)]
struct Answer {
    bytes: Vec<u8>,
    ends_with_reset: bool,
    keeps_connection: bool,
}

type Plan = Arc<Mutex<Answer>>;

/// Starts an upstream of both services that answers as planned.
async fn spawn_upstream(store: &Store) -> Plan {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let plan = Plan::default();
    let shared = Arc::clone(&plan);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&shared)));
        }
    });
    register(store, "i-app", "app", address);
    register(store, "i-engine", "engine", address);
    plan
}

async fn serve(stream: TcpStream, plan: Plan) {
    let mut stream = BufReader::new(stream);
    while let Some(attempt) = read_request(&mut stream).await {
        let answer = plan.lock().unwrap().clone();
        let text = String::from_utf8_lossy(&answer.bytes).replace("ATTEMPT", &attempt);
        let _ = stream.get_mut().write_all(text.as_bytes()).await;
        if answer.keeps_connection {
            continue;
        }
        if answer.ends_with_reset {
            let _ = stream.get_ref().set_zero_linger();
        }
        return;
    }
}

/// The head of a success. Each ends with the header that frames its body, if it has one.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nserver-signature: sig\r\ncontent-length: 20\r\n\r\n",
    "HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nserver-signature: sig\r\n\
     transfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nserver-signature: sig\r\nattempt-id: ATTEMPT\r\n\r\n",
];

/// Responses that precede the final one.
const INFORMATIONAL: [&str; 3] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
];

/// A whole response, after which the connection is reused.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nserver-signature: sig\r\n\
     content-length: 2\r\n\r\nok";

/// Sends a request whose response stops after some bytes, on a new or a used connection.
async fn assert_no_success(instance: &Instance, plan: &Plan, answer: Answer, is_used: bool) {
    if is_used {
        *plan.lock().unwrap() = Answer {
            bytes: WHOLE.into(),
            keeps_connection: true,
            ..Answer::default()
        };
        instance.send(plain_request("pay", "ATTEMPT")).await;
    }
    *plan.lock().unwrap() = answer.clone();
    let stream = Turn::first("chat", "ATTEMPT");
    for request in [plain_request("pay", "ATTEMPT"), stream.request()] {
        let reply = instance.send(request).await;
        let is_success = |status: StatusCode| status.is_success();
        assert!(
            !reply.is_some_and(|reply| is_success(reply.status) && reply.is_complete),
            "{:?}, {answer:?}",
            String::from_utf8_lossy(&answer.bytes)
        );
    }
}

#[tokio::test]
async fn a_head_that_stops_anywhere_is_no_success() {
    let store = Store::spawn();
    configure(&store, 3);
    let plan = spawn_upstream(&store).await;
    let instance = Instance::spawn(&store, "a").await;
    for (index, head) in HEADS.iter().enumerate() {
        for informational in INFORMATIONAL {
            let text = format!("{informational}{head}");
            for len in 0..text.len() {
                let answer = Answer {
                    bytes: text.as_bytes()[..len].to_vec(),
                    ends_with_reset: (len + index) % 2 == 0,
                    keeps_connection: false,
                };
                assert_no_success(&instance, &plan, answer, len % 3 == 0).await;
            }
        }
    }
}
