//! An HTTP server that stands in for an instance, and helpers that run the binary against it.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use assert_cmd::Command;
use assert_cmd::assert::Assert;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// A request that the server received.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) authorization: String,
    pub(crate) body: String,
}

/// Status code and body of a response.
pub(crate) type Reply = (u16, String);

/// A running server. Dropping it stops it.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    _runtime: Runtime,
}

impl Server {
    /// Binds a free port and responds to every request with the result of `handler`.
    pub(crate) fn bind(
        handler: impl Fn(&RecordedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        runtime.spawn(accept(listener, Arc::new(handler), Arc::clone(&requests)));
        Self {
            address,
            requests,
            _runtime: runtime,
        }
    }

    /// Returns the requests received so far.
    pub(crate) fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().unwrap().clone()
    }
}

type Handler = Arc<dyn Fn(&RecordedRequest) -> Reply + Send + Sync>;

async fn accept(
    listener: TcpListener,
    handler: Handler,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (handler, requests) = (Arc::clone(&handler), Arc::clone(&requests));
        let service = service_fn(move |request| {
            let (handler, requests) = (Arc::clone(&handler), Arc::clone(&requests));
            async move { Ok::<_, Infallible>(respond(request, &handler, &requests).await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn respond(
    request: Request<Incoming>,
    handler: &Handler,
    requests: &Mutex<Vec<RecordedRequest>>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let authorization = head.headers.get("authorization");
    let request = RecordedRequest {
        method: head.method.to_string(),
        path: head.uri.to_string(),
        authorization: authorization
            .map_or("", |value| value.to_str().unwrap())
            .to_owned(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    };
    requests.lock().unwrap().push(request.clone());
    let (status, body) = handler(&request);
    Response::builder()
        .status(status)
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

/// Returns a command for the binary without its environment variables.
pub(crate) fn basilramp() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilramp"));
    for name in [
        "OPERATORS",
        "CALLERS",
        "TOKEN",
        "TOKEN_FILE",
        "KEY",
        "KEY_FILE",
    ] {
        command.env_remove(format!("BASILRAMP_{name}"));
    }
    command.env_remove("COLUMNS");
    command
}

/// Runs the binary with the operator address and token of a server.
pub(crate) fn run_as_operator(server: &Server, arguments: &[&str]) -> Assert {
    basilramp()
        .env("BASILRAMP_OPERATORS", server.address.to_string())
        .env("BASILRAMP_TOKEN", "secret")
        .args(arguments)
        .assert()
}

/// Runs the binary with the caller address and account key of a server.
pub(crate) fn run_as_caller(server: &Server, arguments: &[&str]) -> Assert {
    basilramp()
        .env("BASILRAMP_CALLERS", server.address.to_string())
        .env("BASILRAMP_KEY", "key")
        .args(arguments)
        .assert()
}

/// Returns the standard output of a run.
pub(crate) fn stdout(run: &Assert) -> String {
    String::from_utf8(run.get_output().stdout.clone()).unwrap()
}

/// Returns the standard error of a run.
pub(crate) fn stderr(run: &Assert) -> String {
    String::from_utf8(run.get_output().stderr.clone()).unwrap()
}
