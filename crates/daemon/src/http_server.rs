//! HTTP listeners: accept connections and hand their requests to gotham.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use basilramp_wire::error::{Error, Kind};
use eyre::{Result, WrapErr};
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::RouterBuilder;
use gotham::service::call_handler;
use gotham::state::{FromState, State, StateData};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};

use crate::{response, shutdown};

/// What the paths of one listener share.
#[derive(Debug, StateData)]
struct SharedState<T: Send + Sync + 'static>(Arc<T>);

/// Returns what the paths of this listener share.
///
/// # Panics
///
/// If the listener was served with another type, which its first request would show.
pub(crate) fn shared_state<T: Send + Sync + 'static>(state: &State) -> Arc<T> {
    SharedState::<T>::borrow_from(state).0.clone()
}

/// Answers unknown paths and methods from the table of errors.
pub(crate) fn reject_unknown(route: &mut RouterBuilder<'_, (), ()>) {
    route.add_response_extender(StatusCode::NOT_FOUND, reject_unknown_path);
    route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, reject_unknown_method);
}

fn reject_unknown_path(_state: &mut State, response: &mut Response<Body>) {
    let error = Error::new(Kind::NotFound, "no such path");
    set_error_if_empty(response, &error);
}

fn reject_unknown_method(_state: &mut State, response: &mut Response<Body>) {
    let error = Error::new(Kind::MethodNotAllowed, "the path does not take this method");
    set_error_if_empty(response, &error);
}

/// Leaves answers alone that a handler gave: those have a content type.
fn set_error_if_empty(response: &mut Response<Body>, error: &Error) {
    if response.headers().contains_key(http::header::CONTENT_TYPE) {
        return;
    }
    let mut filled = response::error(error);
    for (name, value) in response.headers() {
        if name != http::header::CONTENT_LENGTH {
            filled.headers_mut().insert(name, value.clone());
        }
    }
    *response = filled;
}

/// A bound listener that serves nothing yet.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds a listener; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub(crate) async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("can't listen on {address}"))?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `paths` until the stop closes listeners, then until every request is answered.
    pub(crate) async fn serve<T: Send + Sync + 'static>(
        self,
        router: Router,
        shared: Arc<T>,
        stop: shutdown::Handle,
    ) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = stop.wait_for_listener_close() => break,
            };
            let Ok((socket, address)) = accepted else {
                // Out of file descriptors, say: other tasks must get the time to close some.
                tokio::task::yield_now().await;
                continue;
            };
            let handler = Handler {
                router: router.clone(),
                shared: shared.clone(),
                address,
            };
            tokio::spawn(serve_connection(socket, handler, graceful.watcher()));
        }
        graceful.shutdown().await;
    }
}

/// What answers the requests of one connection.
struct Handler<T> {
    router: Router,
    shared: Arc<T>,
    address: SocketAddr,
}

async fn serve_connection<T: Send + Sync + 'static>(
    socket: TcpStream,
    handler: Handler<T>,
    watcher: Watcher,
) {
    // Without it small events wait for the caller's acknowledgements; a failure only costs time.
    let _ = socket.set_nodelay(true);
    let handler = Arc::new(handler);
    let service = service_fn(move |request| handle_request(handler.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service);
    // A connection that breaks ends its own requests only.
    let _ = watcher.watch(connection).await;
}

async fn handle_request<T: Send + Sync + 'static>(
    handler: Arc<Handler<T>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut state = State::from_request(request, handler.address);
    state.put(SharedState(handler.shared.clone()));
    let response = call_handler(handler.router.clone(), AssertUnwindSafe(state)).await;
    let response = response.unwrap_or_else(|_| {
        let error = Error::new(Kind::Internal, "the request could not be handled");
        response::error(&error)
    });
    Ok(response)
}
