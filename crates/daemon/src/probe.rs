//! Tells an upstream that crashed from a connection that broke.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Looks at an upstream; it is down if any of them fails.
const LOOKS: u32 = 2;

/// Time between two looks, within which a process that crashed has closed its listener.
const PAUSE: Duration = Duration::from_millis(30);

const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Tells whether an upstream answers nothing shortly after one of its connections broke.
pub(crate) async fn is_down(address: SocketAddr) -> bool {
    for _ in 0..LOOKS {
        let answered = timeout(ANSWER_TIMEOUT, answers(address)).await;
        if answered != Ok(true) {
            return true;
        }
        sleep(PAUSE).await;
    }
    false
}

/// Tells whether an upstream answers a request, whatever it answers, on a connection of its own.
async fn answers(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else {
        return false;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    let driver = tokio::spawn(connection);
    let request = Request::get("/load")
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new());
    let answered = match request {
        Ok(request) => sender.send_request(request).await.is_ok(),
        Err(_) => false,
    };
    driver.abort();
    answered
}
