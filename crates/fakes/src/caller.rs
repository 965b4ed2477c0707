//! HTTP client of the caller API, for tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use basilramp_wire::api::{Budget, Call, CreateProgram, Event, FinalEvent, Program};
use basilramp_wire::sse::Decoder;
use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;

pub use crate::request::Failure;
use crate::request::{read_json, request_json, send};

/// A client of one account. It opens a new connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    key: Arc<str>,
}

/// An event of a response stream and the time at which it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    /// Arrival time in milliseconds after the call was sent.
    pub at_ms: u64,
    /// The decoded event.
    pub event: Event,
}

/// The events and the result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The events in order of arrival.
    pub events: Vec<TimedEvent>,
    /// The final event, or the reason why there is none.
    pub result: Result<FinalEvent, Failure>,
    /// Milliseconds from sending the call to the end of its response.
    pub duration_ms: u64,
}

impl CallResponse {
    /// Returns the concatenated text of the token events.
    #[must_use]
    pub fn token_text(&self) -> String {
        self.events
            .iter()
            .filter_map(|timed| match &timed.event {
                Event::Token(token) => Some(token.text.as_str()),
                Event::Final(_) | Event::Error(_) => None,
            })
            .collect()
    }
}

/// Returns a call with an output limit of 64 tokens.
#[must_use]
pub fn call_request(request_id: &str, position: u32, service: &str, input: &str) -> Call {
    Call {
        request_id: request_id.to_owned(),
        position,
        service: service.to_owned(),
        input: input.to_owned(),
        max_tokens: 64,
        provisional: false,
    }
}

/// Returns a budget with the given tokens: 100 turns, 10 minutes and a depth of 4.
#[must_use]
pub const fn program_budget(tokens: u64) -> Budget {
    Budget {
        tokens,
        turns: 100,
        wall_ms: 600_000,
        depth: 4,
    }
}

impl Client {
    /// Returns a client that authenticates with an account's key.
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self { key: key.into() }
    }

    /// Creates a program (`POST /v1/programs`).
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn create_program(
        &self,
        at: SocketAddr,
        create: &CreateProgram,
    ) -> Result<Program, Failure> {
        let key = Some(&*self.key);
        request_json(at, Method::POST, "/v1/programs", key, Some(create)).await
    }

    /// Creates a root program with a budget.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn create_root(
        &self,
        at: SocketAddr,
        request_id: &str,
        budget: Budget,
    ) -> Result<Program, Failure> {
        let create = CreateProgram {
            request_id: request_id.to_owned(),
            budget: Some(budget),
            parent: None,
        };
        self.create_program(at, &create).await
    }

    /// Reads a program (`GET /v1/programs/{program}`).
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn get_program(&self, at: SocketAddr, program: &str) -> Result<Program, Failure> {
        let path = format!("/v1/programs/{program}");
        request_json(at, Method::GET, &path, Some(&*self.key), None::<&()>).await
    }

    /// Ends a program (`POST /v1/programs/{program}/end`).
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn end_program(&self, at: SocketAddr, program: &str) -> Result<Program, Failure> {
        let path = format!("/v1/programs/{program}/end");
        request_json(at, Method::POST, &path, Some(&*self.key), None::<&()>).await
    }

    /// Runs a call and collects its events.
    pub async fn call(&self, at: SocketAddr, program: &str, call: &Call) -> CallResponse {
        self.call_with_observer(at, program, call, |_| ()).await
    }

    /// Runs a call and passes each event to `observe` as it arrives.
    pub async fn call_with_observer(
        &self,
        at: SocketAddr,
        program: &str,
        call: &Call,
        mut observe: impl FnMut(&Event),
    ) -> CallResponse {
        let start = Instant::now();
        let mut events = Vec::new();
        let result = self
            .stream(at, program, call, |event| {
                observe(&event);
                events.push(TimedEvent {
                    at_ms: start.elapsed().as_millis() as u64,
                    event,
                });
            })
            .await;
        CallResponse {
            events,
            result,
            duration_ms: start.elapsed().as_millis() as u64,
        }
    }

    async fn stream(
        &self,
        at: SocketAddr,
        program: &str,
        call: &Call,
        mut observe: impl FnMut(Event),
    ) -> Result<FinalEvent, Failure> {
        let path = format!("/v1/programs/{program}/calls");
        let body = serde_json::to_vec(call).map_err(|error| malformed(&error))?;
        let body = Bytes::from(body);
        let response = send(at, Method::POST, &path, Some(&*self.key), body).await?;
        if !response.status().is_success() {
            let rejected: Result<serde_json::Value, Failure> = read_json(response).await;
            return Err(match rejected {
                Err(failure) => failure,
                Ok(_) => Failure::Malformed("the error response was decoded as a success".into()),
            });
        }
        let mut reader = EventReader::new(response.into_body());
        loop {
            let event = reader.next_event().await?;
            observe(event.clone());
            match event {
                Event::Token(_) => {}
                Event::Final(last) => return Ok(last),
                Event::Error(error) => return Err(Failure::Rejected(error)),
            }
        }
    }
}

fn malformed(reason: &impl ToString) -> Failure {
    Failure::Malformed(reason.to_string().into())
}

/// Decodes the server-sent events of a response body.
struct EventReader {
    body: Incoming,
    decoder: Decoder,
}

impl EventReader {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            decoder: Decoder::default(),
        }
    }

    async fn next_event(&mut self) -> Result<Event, Failure> {
        loop {
            let event = self
                .decoder
                .next_event()
                .map_err(|error| malformed(&error))?;
            if let Some(event) = event {
                return Ok(event);
            }
            let frame = self.body.frame().await;
            let frame = frame
                .ok_or_else(|| Failure::Broken("the stream ended without a final event".into()))?;
            let frame = frame.map_err(|error| Failure::Broken(error.to_string().into()))?;
            if let Some(data) = frame.data_ref() {
                self.decoder.push(data);
            }
        }
    }
}
