//! HTTP server: accepts connections and passes their requests to a gotham router.

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

/// Gotham state that holds the data shared by the handlers of one listener.
#[derive(Debug, StateData)]
struct SharedState<T: Send + Sync + 'static>(Arc<T>);

/// Returns the data shared by the handlers of this listener.
///
/// # Panics
///
/// If [`Listener::serve`] was given data of another type; the first request would fail.
pub(crate) fn shared_state<T: Send + Sync + 'static>(state: &State) -> Arc<T> {
    SharedState::<T>::borrow_from(state).0.clone()
}

/// Adds error responses for unknown paths and unsupported methods.
pub(crate) fn reject_unknown(route: &mut RouterBuilder<'_, (), ()>) {
    route.add_response_extender(StatusCode::NOT_FOUND, reject_unknown_path);
    route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, reject_unknown_method);
}

fn reject_unknown_path(_state: &mut State, response: &mut Response<Body>) {
    let error = Error::new(Kind::NotFound, "no such path");
    set_error_if_empty(response, &error);
}

fn reject_unknown_method(_state: &mut State, response: &mut Response<Body>) {
    let error = Error::new(
        Kind::MethodNotAllowed,
        "the path does not support this method",
    );
    set_error_if_empty(response, &error);
}

/// Sets the error as the body of a response that gotham generated.
///
/// Responses of handlers have a content type and are left unchanged.
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

/// A bound socket that does not accept connections yet.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds a listener; port 0 selects a free port.
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

    /// Returns the bound address, with the port that was selected.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the shutdown closes the listeners, then finishes those in flight.
    pub(crate) async fn serve<T: Send + Sync + 'static>(
        self,
        router: Router,
        shared: Arc<T>,
        shutdown: shutdown::Handle,
    ) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = shutdown.wait_for_listener_close() => break,
            };
            let Ok((socket, address)) = accepted else {
                // The process may be out of file descriptors: let other tasks run and close some.
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

/// Handles the requests of one connection.
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
    // With Nagle's algorithm, small events would wait for the caller's acknowledgements. A failure
    // to disable it only adds latency.
    let _ = socket.set_nodelay(true);
    let handler = Arc::new(handler);
    let service = service_fn(move |request| handle_request(handler.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service);
    // An error of this connection concerns only its own requests.
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
