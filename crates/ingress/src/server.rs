//! Listeners and connections of callers and probes.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use basilramp_process::event;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::log_event::Event;
use crate::source::Origin;
use crate::state::State;
use crate::{handler, operator};

/// Idle timeout of a caller's connection until a configuration is loaded.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Buffer size for the head and the body of a request.
const BUFFER_BYTES: usize = 64 * 1_024;

/// Length of the accept queue.
const BACKLOG: u32 = 1_024;

/// Delay after a failed accept, which is usually due to a lack of file descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Share of the file descriptors for callers' connections, in percent. The others are for probes,
/// the store and upstreams, which must not wait for idle callers to leave.
const CALLER_DESCRIPTOR_PERCENT: u64 = 60;

/// Maximum number of callers' connections if the operating system does not limit descriptors.
const DEFAULT_MAX_CONNECTIONS: usize = 10_000;

/// Returns the maximum number of callers' connections.
fn max_caller_connections() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(DEFAULT_MAX_CONNECTIONS, |limit| {
        (limit * CALLER_DESCRIPTOR_PERCENT / 100) as usize
    })
}

/// Counter of the callers' open connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a connection or request until the guard is dropped.
    pub(crate) fn track(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }
}

/// Ends a count when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(OpenConnections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() {
        tokio::net::TcpSocket::new_v4()
    } else {
        tokio::net::TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket
        .bind(address)
        .wrap_err_with(|| format!("can't bind {address}"))?;
    socket
        .listen(BACKLOG)
        .wrap_err_with(|| format!("can't listen at {address}"))
}

/// Accepts and serves connections of callers. Never returns.
pub(crate) async fn serve_callers(
    state: Arc<State>,
    listener: TcpListener,
    connections: OpenConnections,
    stopping: watch::Receiver<bool>,
) {
    let max_connections = max_caller_connections();
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if connections.count() >= max_connections {
            // Nothing of a request was read, so the caller may send it elsewhere.
            drop(stream);
            if state.allows_log_line(Event::ConnectionRefused) {
                event!(state.log, Event::ConnectionRefused, "connections" => max_connections);
            }
            continue;
        }
        let guard = connections.track();
        let state = Arc::clone(&state);
        let stopping = stopping.clone();
        tokio::spawn(async move {
            let _guard = guard;
            serve_connection(state, stream, caller.ip(), stopping).await;
        });
    }
}

async fn serve_connection(
    state: Arc<State>,
    stream: TcpStream,
    caller: IpAddr,
    mut stopping: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let idle_timeout_ms = state.table().map_or(DEFAULT_IDLE_TIMEOUT_MS, |table| {
        table.config().limits.idle_timeout_ms
    });
    let is_stopping = *stopping.borrow();
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handler::handle(state, Origin::Caller(caller), request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also limits the idle time between two requests.
        .header_read_timeout(Duration::from_millis(idle_timeout_ms))
        .max_buf_size(BUFFER_BYTES)
        .keep_alive(!is_stopping)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_shutdown_sent = is_stopping;
    loop {
        tokio::select! {
            // A request that has arrived is read before the connection is closed for a shutdown.
            biased;
            // Errors are on the caller's side: it disconnected or did not send HTTP.
            _ = connection.as_mut() => return,
            changed = stopping.changed(), if !is_shutdown_sent => {
                is_shutdown_sent = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Who is served at an internal address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The balancer, which probes the readiness.
    Balancer,
    /// Operators, who also read metrics and release suspects.
    Operators,
}

/// Serves readiness probes, metrics and the interface for operators. Never returns.
pub(crate) async fn serve_probes(state: Arc<State>, listener: TcpListener, audience: Audience) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let path = request.uri().path();
                let response = match audience {
                    Audience::Operators => operator::respond(&state, request.method(), path),
                    Audience::Balancer => None,
                };
                let response = response.unwrap_or_else(|| probe_response(&state, path));
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Errors are on the client's side: it disconnected or did not send HTTP.
            let _ = connection.await;
        });
    }
}

fn probe_response(state: &State, path: &str) -> Response<Full<Bytes>> {
    let (status, text) = match path {
        "/readyz" if state.is_ready() => (StatusCode::OK, String::new()),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => match state.metrics.render() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
