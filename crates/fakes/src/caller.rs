//! A client of the callers' interface, for tests.

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

/// A caller of one account, who sends each request on a fresh connection.
#[derive(Clone, Debug)]
pub struct Client {
    key: Arc<str>,
}

/// An event of an answer and when it came, in milliseconds after the call was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    /// When it came.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// How a call went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The events, in order.
    pub events: Vec<TimedEvent>,
    /// The final event, or why there is none.
    pub result: Result<FinalEvent, Failure>,
    /// Milliseconds from sending to the end.
    pub duration_ms: u64,
}

impl CallResponse {
    /// Returns the text of the token events.
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

/// Makes the body of a call with the usual output cap.
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

/// Makes a budget of so many tokens and the usual other limits.
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
    /// Makes a client that uses an account's key.
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self { key: key.into() }
    }

    /// Creates a program.
    ///
    /// # Errors
    ///
    /// Says how the request failed.
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
    /// Says how the request failed.
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

    /// Reads a program.
    ///
    /// # Errors
    ///
    /// Says how the request failed.
    pub async fn get_program(&self, at: SocketAddr, program: &str) -> Result<Program, Failure> {
        let path = format!("/v1/programs/{program}");
        request_json(at, Method::GET, &path, Some(&*self.key), None::<&()>).await
    }

    /// Ends a program.
    ///
    /// # Errors
    ///
    /// Says how the request failed.
    pub async fn end_program(&self, at: SocketAddr, program: &str) -> Result<Program, Failure> {
        let path = format!("/v1/programs/{program}/end");
        request_json(at, Method::POST, &path, Some(&*self.key), None::<&()>).await
    }

    /// Runs a call and collects its events.
    pub async fn call(&self, at: SocketAddr, program: &str, call: &Call) -> CallResponse {
        self.call_with_observer(at, program, call, |_| ()).await
    }

    /// Runs a call, and hands each event to `observe` as it comes.
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
            let refused: Result<serde_json::Value, Failure> = read_json(response).await;
            return Err(match refused {
                Err(failure) => failure,
                Ok(_) => Failure::Malformed("a refusal was read as an answer".into()),
            });
        }
        let mut events = Events::new(response.into_body());
        loop {
            let event = events.next().await?;
            observe(event.clone());
            match event {
                Event::Token(_) => {}
                Event::Final(last) => return Ok(last),
                Event::Error(error) => return Err(Failure::Rejected(error)),
            }
        }
    }
}

fn malformed(why: &impl ToString) -> Failure {
    Failure::Malformed(why.to_string().into())
}

/// Reads the events of a call's answer.
struct Events {
    body: Incoming,
    decoder: Decoder,
}

impl Events {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            decoder: Decoder::default(),
        }
    }

    async fn next(&mut self) -> Result<Event, Failure> {
        loop {
            let event = self
                .decoder
                .next_event()
                .map_err(|error| malformed(&error))?;
            if let Some(event) = event {
                return Ok(event);
            }
            let frame = self.body.frame().await;
            let frame =
                frame.ok_or_else(|| Failure::Broken("ended without a last event".into()))?;
            let frame = frame.map_err(|error| Failure::Broken(error.to_string().into()))?;
            if let Some(data) = frame.data_ref() {
                self.decoder.push(data);
            }
        }
    }
}
