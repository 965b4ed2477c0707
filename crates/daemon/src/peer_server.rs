//! Server side of QUIC between instances.

use std::net::SocketAddr;

use basilramp_core::id;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body, Reply, Request};
use eyre::Result;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, ServerConfig};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::owner_router::LocalHandler;
use crate::peer_stream;
use crate::trace::{self, Hop};

/// Events of a call that wait for the peer.
const EVENT_BUFFER: usize = 32;

/// Binds the UDP socket that both sides of the instance use.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn bind(config: ServerConfig, address: SocketAddr) -> Result<Endpoint> {
    let endpoint = Endpoint::server(config, address)?;
    Ok(endpoint)
}

/// Answers peers until the endpoint is closed. Requests under way are tracked by `tasks`.
pub(crate) async fn serve(endpoint: Endpoint, local: LocalHandler, tasks: TaskTracker) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(incoming, local.clone(), tasks.clone()));
    }
}

async fn serve_connection(incoming: Incoming, local: LocalHandler, tasks: TaskTracker) {
    let Ok(connection) = incoming.await else {
        return;
    };
    while let Ok((sending, receiving)) = accept(&connection).await {
        tasks.spawn(serve_stream(sending, receiving, local.clone()));
    }
}

async fn accept(connection: &Connection) -> Result<(SendStream, RecvStream)> {
    let streams = connection.accept_bi().await?;
    Ok(streams)
}

async fn serve_stream(mut sending: SendStream, mut receiving: RecvStream, local: LocalHandler) {
    let Ok(request) = peer_stream::receive::<Request>(&mut receiving).await else {
        return;
    };
    let Request { traceparent, body } = request;
    let hop = match &body {
        Body::Grant(_) => Hop::Home,
        _ => Hop::Owner,
    };
    let work = handle_request(&mut sending, body, &local);
    match traceparent {
        Some(context) => trace::in_request_span(hop, Some(&context), work).await,
        None => work.await,
    }
    // A peer that stopped reading needs no end of stream.
    let _ = sending.finish();
    // Closing the endpoint throws away what the peer has not received yet.
    let _ = sending.stopped().await;
}

async fn handle_request(sending: &mut SendStream, body: Body, local: &LocalHandler) {
    if let Body::Call {
        account,
        program,
        call,
    } = body
    {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        match program.parse() {
            Ok(program) => {
                let account = id::Account::new(account);
                let run = local.run_call(account, program, call, sender);
                tokio::join!(run, forward_events(sending, receiver));
            }
            Err(_) => send_reply(sending, Err(unknown_program_error())).await,
        }
        return;
    }
    let result = local.handle(body).await;
    send_reply(sending, result).await;
}

async fn forward_events(
    sending: &mut SendStream,
    mut receiver: mpsc::Receiver<basilramp_wire::api::Event>,
) {
    let stopped = sending.stopped();
    tokio::pin!(stopped);
    loop {
        let event = tokio::select! {
            event = receiver.recv() => event,
            _ = &mut stopped => return,
        };
        let Some(event) = event else {
            return;
        };
        if peer_stream::send(sending, &Reply::Event(event))
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn send_reply(sending: &mut SendStream, result: Result<Reply, Error>) {
    let reply = result.unwrap_or_else(Reply::Error);
    // The peer learns of a lost reply by the broken stream.
    let _ = peer_stream::send(sending, &reply).await;
}

fn unknown_program_error() -> Error {
    Error::new(Kind::NotFound, "no such program")
}
