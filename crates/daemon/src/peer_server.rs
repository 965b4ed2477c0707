//! QUIC server for requests of other instances.

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

/// Maximum number of events of a call buffered for a slow peer.
const EVENT_BUFFER: usize = 32;

/// Binds the UDP socket shared by the QUIC server and client of the instance.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn bind(config: ServerConfig, address: SocketAddr) -> Result<Endpoint> {
    let endpoint = Endpoint::server(config, address)?;
    Ok(endpoint)
}

/// Serves peers until the endpoint is closed; `tasks` tracks the requests in flight.
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
    // Fails only if the peer already stopped the stream.
    let _ = sending.finish();
    // Wait until the peer has received everything: closing the endpoint discards unsent data.
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

/// Sends the events of a call until the last one, or until the peer stops the stream.
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
    // If the reply can't be sent, the peer notices that the stream or its connection is closed.
    let _ = peer_stream::send(sending, &reply).await;
}

fn unknown_program_error() -> Error {
    Error::new(Kind::NotFound, "no such program")
}
