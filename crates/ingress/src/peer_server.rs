//! Accepts requests that other instances relay while they have no path to the upstreams.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use basilramp_adapter::connection;
use basilramp_process::event;
use basilramp_wire::{config_copy, permit};
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

use crate::handler;
use crate::log_event::Event;
use crate::server::{ACCEPT_RETRY_DELAY, OpenConnections};
use crate::source::Origin;
use crate::state::State;
use crate::{membership, peer_tls, quota};

/// Maximum number of connections of other instances. Each instance in need has a few to each of the
/// instances that it relays to.
const MAX_CONNECTIONS: usize = 1_000;

/// Time limit for the handshake and the check of the certificate.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts and serves connections of other instances. `active` counts the requests, for which a
/// shutdown waits. Never returns.
pub(crate) async fn serve(
    state: Arc<State>,
    listener: TcpListener,
    acceptor: TlsAcceptor,
    active: OpenConnections,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (state, acceptor) = (Arc::clone(&state), acceptor.clone());
        let (active, open) = (active.clone(), Arc::clone(&open));
        tokio::spawn(async move {
            serve_connection(state, stream, acceptor, active).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(
    state: Arc<State>,
    stream: TcpStream,
    acceptor: TlsAcceptor,
    active: OpenConnections,
) {
    let handshake = authenticate(&state, stream, acceptor);
    let Ok(Some((instance, stream))) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await
    else {
        if state.allows_log_line(Event::PeerRejected) {
            event!(state.log, Event::PeerRejected);
        }
        return;
    };
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        let origin = Origin::Instance(Arc::clone(&instance));
        let guard = active.track();
        async move {
            let response = if permit::is_marked(request.headers()) {
                quota::respond(&state, request).await
            } else if config_copy::is_marked(request.headers()) {
                crate::config_copy::respond(&state, request.headers())
            } else {
                handler::handle(state, origin, request).await
            };
            Ok::<_, Infallible>(response.map(|body| handler::hold(body, guard)))
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Errors are on the other side: it disconnected.
    let _ = connection.await;
}

/// Returns the id of the other instance and the encrypted stream, or `None` if it is unknown.
async fn authenticate(
    state: &State,
    stream: TcpStream,
    acceptor: TlsAcceptor,
) -> Option<(Arc<str>, TlsStream<TcpStream>)> {
    connection::set_socket_options(&stream).ok()?;
    let stream = acceptor.accept(stream).await.ok()?;
    let certificates = stream.get_ref().1.peer_certificates()?;
    let fingerprint = peer_tls::fingerprint(certificates.first()?);
    let id = membership::find_by_certificate(state, fingerprint).await?;
    Some((id, stream))
}
