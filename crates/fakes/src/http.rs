//! An HTTP server for the fakes, whose listener can be closed and reopened on the same port.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum length of the accept queue.
const BACKLOG: u32 = 1024;

/// A response body, complete or streamed. An error in the stream breaks the connection.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Closes the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionClosed {}

/// The result of a request handler.
pub(crate) type HandlerResult = Result<Response<Body>, ConnectionClosed>;

/// Returns a response with a complete body.
pub(crate) fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = full_response(status, body);
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// The requested state of the accept loop. Increasing `resets` breaks all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListenerState {
    open: bool,
    resets: u64,
}

/// A running server. Dropping it stops the accept loop and closes its connections.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    listener_state: Arc<watch::Sender<ListenerState>>,
    task: JoinHandle<()>,
}

/// Opens and closes the listener of a server, also from within its handler.
#[derive(Clone, Debug)]
pub(crate) struct ListenerControl(Arc<watch::Sender<ListenerState>>);

impl ListenerControl {
    /// Creates the control for a server that is spawned later, with an open listener.
    pub(crate) fn new() -> Self {
        let listener_state = ListenerState {
            open: true,
            resets: 0,
        };
        Self(Arc::new(watch::Sender::new(listener_state)))
    }

    /// Opens the listener, or closes it and all connections.
    pub(crate) fn set_open(&self, open: bool) {
        self.0.send_modify(|state| state.open = open);
    }

    /// Returns whether the listener is open.
    pub(crate) fn is_open(&self) -> bool {
        self.0.borrow().open
    }

    /// Closes all connections; the listener stays open.
    pub(crate) fn reset_connections(&self) {
        self.0.send_modify(|state| state.resets += 1);
    }
}

impl Server {
    /// Starts a server on a free port of 127.0.0.1.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, or if no port is free.
    pub(crate) fn spawn<H, F>(control: &ListenerControl, handler: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let socket = bind((Ipv4Addr::LOCALHOST, 0).into()).expect("no port is free");
        let address = socket.local_addr().expect("cannot read the bound address");
        let listener = socket
            .listen(BACKLOG)
            .expect("cannot listen on the bound socket");
        let task = tokio::spawn(serve_while_open(
            listener,
            address,
            control.0.subscribe(),
            handler,
        ));
        Self {
            address,
            listener_state: Arc::clone(&control.0),
            task,
        }
    }

    /// Returns the listen address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
        self.listener_state.send_modify(|state| state.open = false);
    }
}

/// Binds a socket without listening, so that the operating system refuses connections. The server
/// may bind another socket to the same address.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Serves while the listener is open, and keeps the port bound while it is closed.
async fn serve_while_open<H, F>(
    mut listener: TcpListener,
    address: SocketAddr,
    mut listener_state: watch::Receiver<ListenerState>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        accept_connections(&listener, &listener_state, &handler).await;
        let socket = bind(address).expect("cannot bind the port again");
        drop(listener);
        if listener_state.wait_for(|state| state.open).await.is_err() {
            return;
        }
        listener = socket
            .listen(BACKLOG)
            .expect("cannot listen on the bound socket");
    }
}

/// Accepts connections until the listener is closed.
async fn accept_connections<H, F>(
    listener: &TcpListener,
    listener_state: &watch::Receiver<ListenerState>,
    handler: &H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let mut state_changes = listener_state.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(stream, listener_state.clone(), handler.clone()));
                }
            }
            _ = state_changes.wait_for(|listener_state| !listener_state.open) => return,
        }
    }
}

/// Serves one connection until it ends, or until the listener is closed or reset.
async fn serve_connection<H, F>(
    stream: TcpStream,
    mut listener_state: watch::Receiver<ListenerState>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let initial = *listener_state.borrow();
    if !initial.open || stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(handler);
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = listener_state.wait_for(|state| *state != initial) => {}
    }
}
