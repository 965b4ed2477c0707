//! Relays event streams from upstreams to callers.

use std::sync::Arc;

use basilramp_adapter::header;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::{ProgramTurn, RunningTurn, TurnTiming};
use basilramp_core::dispatch::attempt::{Decision, Failure};
use basilramp_core::dispatch::event_log::LoggedEvent;
use basilramp_core::dispatch::fleet::AttemptOutcome;
use basilramp_core::dispatch::placement::Placement;
use basilramp_core::dispatch::sse::{Decoder, Event as SseEvent};
use basilramp_core::dispatch::transcript::TranscriptBuilder;
use basilramp_process::event;
use bytes::Bytes;
use futures_util::stream;
use http::{Response, response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;

use crate::active_request::ActiveRequest;
use crate::attempt::{self, UpstreamResponse};
use crate::budget::ReservedTokens;
use crate::buffer::{Exhausted, Reservation};
use crate::handler::{Body, ResponseAborted, Turn};
use crate::log_event::Event;
use crate::metric;
use crate::path::{self, WaitError};
use crate::quota::{self, SpentPermit};
use crate::relay::{self, Continuation};
use crate::state::State;
use crate::{crash, suspect, turn_store};

/// Minimum gap between events after which a resumable stream continues at another upstream.
const MIN_GAP_TIMEOUT_MS: u64 = 1_000;

/// Interval at which a stalled stream checks whether another upstream could continue it.
const ALTERNATIVE_POLL_MS: u64 = 200;

/// Multiple of the gap that callers accept after which a resumable stream continues at another
/// upstream. Callers leave after eight times that gap.
const GAP_TIMEOUT_FACTOR: u64 = 4;

/// A stream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct Stream {
    response: UpstreamResponse,
    decoder: Decoder,
    first_event: Option<SseEvent>,
}

/// Relays a stream to the caller.
struct StreamRelay {
    request: ActiveRequest,
    placement: Placement,
    source: Option<Source>,
    status: u16,
    decoder: Decoder,
    first_event: Option<SseEvent>,
    last_event: Option<u64>,
    /// When the last event with data arrived.
    last_event_at: Time,
    events: u64,
    reserved: Option<ReservedTokens>,
    turn: Turn,
}

/// Where the events come from.
enum Source {
    Upstream(Box<UpstreamResponse>),
    /// Another instance, while this one has no path to the upstreams.
    Relay(Box<Continuation>),
}

impl Source {
    fn body(&mut self) -> (&mut Incoming, &mut Reservation) {
        match self {
            Self::Upstream(response) => (&mut response.body, &mut response.memory),
            Self::Relay(continuation) => continuation.body(),
        }
    }

    /// Returns the id of the upstream or instance.
    fn id(&self) -> &Arc<str> {
        match self {
            Self::Upstream(response) => &response.upstream,
            Self::Relay(continuation) => continuation.instance(),
        }
    }

    fn fail(&mut self, outcome: AttemptOutcome) {
        match self {
            Self::Upstream(response) => response.guard.fail(outcome),
            Self::Relay(continuation) => continuation.fail(),
        }
    }

    const fn is_upstream(&self) -> bool {
        matches!(self, Self::Upstream(_))
    }
}

/// Result of reading from the upstream.
enum ReadResult {
    /// Complete events.
    Events(Vec<SseEvent>),
    /// No event arrived yet.
    Idle,
    /// No event with data arrived for longer than callers accept.
    Stalled,
    /// The stream ended regularly.
    End,
    /// The stream was interrupted.
    Broken(ReadError),
}

/// Why no further event can be read from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadError {
    /// The connection failed.
    BrokenOff,
    /// The connection or the body ended within an event.
    EndedWithinEvent,
    /// The body holds bytes that are no event.
    Malformed,
    /// An event is longer than any valid one.
    EventTooLong,
    /// The memory for buffered bytes is used up.
    OutOfMemory,
    /// No event arrived before the caller's deadline.
    Late,
    /// The path to all upstreams was lost.
    PathLost,
    /// There is no upstream any more.
    NoUpstream,
}

impl ReadError {
    const fn cause(self) -> &'static str {
        match self {
            Self::BrokenOff => "the stream broke off",
            Self::EndedWithinEvent => "the stream ended within an event",
            Self::Malformed => "the body holds another answer",
            Self::EventTooLong => "an event is too long",
            Self::OutOfMemory => "no memory is left for the event",
            Self::Late => "no event in time",
            Self::PathLost => "path to upstreams lost",
            Self::NoUpstream => "no upstream",
        }
    }

    const fn failure(self) -> Failure {
        match self {
            Self::BrokenOff | Self::EndedWithinEvent => Failure::Interrupted,
            Self::Malformed
            | Self::EventTooLong
            | Self::OutOfMemory
            | Self::Late
            | Self::PathLost
            | Self::NoUpstream => Failure::Unknown,
        }
    }
}

impl Stream {
    /// Waits for the first event.
    ///
    /// # Errors
    ///
    /// Fails if the stream is interrupted or times out before the first event.
    pub(crate) async fn open(
        request: &ActiveRequest,
        mut response: UpstreamResponse,
        timeout_ms: u64,
    ) -> Result<Self, Failure> {
        let mut decoder = Decoder::default();
        let limit_ms = timeout_ms.min(request.remaining_ms());
        let read = first_event(&mut response, &mut decoder);
        let read = path::wait(
            &request.state,
            limit_ms,
            request.may_abandon_attempt(),
            read,
        )
        .await;
        let (outcome, error) = match read {
            Ok(Ok(first_event)) => {
                response.guard.record_response(response.head.status);
                response.guard.record_events(1);
                return Ok(Self {
                    response,
                    decoder,
                    first_event,
                });
            }
            Ok(Err(error)) => (AttemptOutcome::Broken, error),
            Err(WaitError::Late) => (AttemptOutcome::Silent, ReadError::Late),
            Err(WaitError::PathLost) => (AttemptOutcome::Abandoned, ReadError::PathLost),
        };
        response.guard.fail(outcome);
        let failure = error.failure();
        attempt::record_failure(request, &response.upstream, failure, error.cause());
        Err(failure)
    }

    /// Builds the response. Its events are sent as they arrive.
    pub(crate) fn respond(
        mut self,
        request: ActiveRequest,
        placement: Placement,
        reserved: Option<ReservedTokens>,
        turn: Turn,
    ) -> Response<Body> {
        let mut head: response::Parts = Response::new(()).into_parts().0;
        head.status = self.response.head.status;
        head.headers = std::mem::take(&mut self.response.head.headers);
        header::remove_hop_by_hop(&mut head.headers);
        let has_ended = self.first_event.is_none();
        let last_event_at = request.state.now();
        let last_event = request.headers.last_event;
        let relay = StreamRelay {
            request,
            placement,
            source: Some(Source::Upstream(Box::new(self.response))),
            status: head.status.as_u16(),
            decoder: self.decoder,
            first_event: self.first_event,
            last_event,
            last_event_at,
            events: 0,
            reserved,
            turn,
        };
        let frames = stream::unfold((Some(relay), has_ended), |(relay, has_ended)| async move {
            let mut relay = relay?;
            match relay.next_bytes(has_ended).await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), (Some(relay), false))),
                Ok(None) => None,
                Err(aborted) => {
                    // The connection is closed at once for the error. Before that, it writes the
                    // events that it has.
                    tokio::task::yield_now().await;
                    Some((Err(aborted), (None, false)))
                }
            }
        });
        Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
    }
}

/// Reads until the first event with data is complete. Returns `None` at the end of the stream.
async fn first_event(
    response: &mut UpstreamResponse,
    decoder: &mut Decoder,
) -> Result<Option<SseEvent>, ReadError> {
    loop {
        let (body, memory) = (&mut response.body, &mut response.memory);
        match next_event(&response.guard.state, body, memory, decoder).await? {
            Some(event) if !event.has_data() => {}
            event => return Ok(event),
        }
    }
}

/// Reads until the next event is complete. Returns `None` at the end of the stream.
async fn next_event(
    state: &State,
    body: &mut Incoming,
    memory: &mut Reservation,
    decoder: &mut Decoder,
) -> Result<Option<SseEvent>, ReadError> {
    loop {
        if let Some(event) = decoder.next_event() {
            return Ok(Some(event));
        }
        if decoder.is_malformed() {
            return Err(ReadError::Malformed);
        }
        if decoder.is_event_too_long() {
            return Err(ReadError::EventTooLong);
        }
        if memory.resize(decoder.buffered_bytes()).is_err() {
            return Err(ReadError::OutOfMemory);
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                state.record_sign();
                if let Some(bytes) = frame.data_ref() {
                    decoder.push(bytes);
                }
            }
            Some(Err(_)) => return Err(ReadError::BrokenOff),
            None if decoder.has_partial_event() => return Err(ReadError::EndedWithinEvent),
            None => return Ok(None),
        }
    }
}

impl StreamRelay {
    /// Returns the bytes of the next events, or `None` when the response is complete.
    async fn next_bytes(&mut self, has_ended: bool) -> Result<Option<Bytes>, ResponseAborted> {
        if let Some(first) = self.first_event.take() {
            let mut events = vec![first];
            while let Some(event) = self.decoder.next_event() {
                events.push(event);
            }
            return self.forward(events).await.map(Some);
        }
        if has_ended {
            return self.finish().await;
        }
        loop {
            match self.read_events().await {
                ReadResult::Events(events) => return self.forward(events).await.map(Some),
                ReadResult::End => return self.finish().await,
                ReadResult::Idle => {}
                ReadResult::Stalled => self.resume(ReadError::Late).await?,
                ReadResult::Broken(error) => self.resume(error).await?,
            }
        }
    }

    async fn read_events(&mut self) -> ReadResult {
        let now = self.request.state.now();
        let gap_ms = now.since(self.last_event_at);
        let gap_timeout_ms = self.gap_timeout_ms();
        let may_resume = self.request.kind.is_idempotent() && self.last_event.is_some();
        // A slow stream is worth more than none: it is left only for another upstream.
        if may_resume && gap_ms >= gap_timeout_ms && self.request.has_alternative() {
            return ReadResult::Stalled;
        }
        let remaining_ms = self.request.deadline.since(now);
        let limit_ms = if may_resume {
            let until_check_ms = gap_timeout_ms.saturating_sub(gap_ms);
            remaining_ms.min(until_check_ms.max(ALTERNATIVE_POLL_MS))
        } else {
            remaining_ms
        };
        let Some(source) = &mut self.source else {
            return ReadResult::Broken(ReadError::NoUpstream);
        };
        let state = &self.request.state;
        let may_move = may_resume && source.is_upstream() && self.request.may_abandon_attempt();
        let (body, memory) = source.body();
        let next = next_event(state, body, memory, &mut self.decoder);
        match path::wait(state, limit_ms, may_move, next).await {
            Ok(Ok(Some(event))) => {
                let mut events = vec![event];
                while let Some(event) = self.decoder.next_event() {
                    events.push(event);
                }
                ReadResult::Events(events)
            }
            Ok(Ok(None)) => ReadResult::End,
            Ok(Err(error)) => ReadResult::Broken(error),
            Err(WaitError::PathLost) => ReadResult::Broken(ReadError::PathLost),
            Err(WaitError::Late) if limit_ms < remaining_ms => ReadResult::Idle,
            Err(WaitError::Late) => ReadResult::Broken(ReadError::Late),
        }
    }

    fn gap_timeout_ms(&self) -> u64 {
        MIN_GAP_TIMEOUT_MS.max(self.request.max_event_gap_ms * GAP_TIMEOUT_FACTOR)
    }

    /// Records events as sent to the caller and returns their bytes. Comments are passed on, but
    /// are no progress of the stream and use no tokens.
    async fn forward(&mut self, events: Vec<SseEvent>) -> Result<Bytes, ResponseAborted> {
        let tokens_per_event = self
            .request
            .engine
            .as_ref()
            .map_or(1, |engine| engine.tokens_per_event);
        let max_events = self.request.max_events();
        let mut bytes = Vec::new();
        for event in events {
            bytes.extend_from_slice(&event.bytes);
            if !event.has_data() {
                continue;
            }
            if self.events >= max_events {
                return Err(self.abort_endless());
            }
            self.events += 1;
            self.last_event = event.id.or(self.last_event);
            self.last_event_at = self.request.state.now();
            if let Some(reserved) = &mut self.reserved {
                reserved.spend(u64::from(tokens_per_event));
            }
            if let Some(data) = &event.data
                && self.record_event(event.id, data).is_err()
            {
                return Err(self.abort("no memory is left for the turn"));
            }
        }
        if let Some(Source::Upstream(response)) = &self.source {
            response.guard.record_events(self.events);
        }
        if let Some(stream_log) = &mut self.turn.stream_log
            && stream_log.flush().await.is_err()
        {
            return Err(self.abort("the caller took the stream up elsewhere"));
        }
        Ok(bytes.into())
    }

    /// Adds an event to what is stored of the turn.
    fn record_event(&mut self, id: Option<u64>, data: &[u8]) -> Result<(), Exhausted> {
        if let Some(transcript) = &mut self.turn.transcript {
            let bytes = TranscriptBuilder::event_memory_bytes(data.len());
            self.request.memory.grow(bytes)?;
            transcript.push_event(data);
        }
        if let Some(stream_log) = &mut self.turn.stream_log {
            let bytes = LoggedEvent::memory_bytes(data.len());
            self.request.memory.grow(bytes)?;
            stream_log.push(id, data);
        }
        Ok(())
    }

    /// Continues the stream at another upstream after the last forwarded event.
    async fn resume(&mut self, error: ReadError) -> Result<(), ResponseAborted> {
        let cause = error.cause();
        let mut failure = error.failure();
        let mut key = self.placement.key;
        if let Some(mut source) = self.source.take() {
            source.fail(match error {
                ReadError::PathLost => AttemptOutcome::Abandoned,
                _ => AttemptOutcome::Broken,
            });
            attempt::record_failure(&self.request, source.id(), failure, cause);
            if !source.is_upstream() && failure == Failure::Interrupted {
                // The connection to the other instance ended, not that to the upstream.
                failure = Failure::Unknown;
            }
        }
        loop {
            let may_resume = self.request.kind.is_idempotent() && self.last_event.is_some();
            let decision = self.request.record_failure(failure);
            let is_over = !may_resume || decision != Decision::Retry;
            if failure == Failure::Interrupted {
                let investigation = crash::investigate(&mut self.request, key);
                if !is_over {
                    crash::wait_for(&self.request.state, investigation).await;
                }
            }
            if is_over {
                return Err(self.abort(cause));
            }
            if self.request.state.path().is_lost() {
                return self.resume_elsewhere(cause).await;
            }
            if quota::acquire(&mut self.request).await.is_err() {
                return Err(self.abort("the account has no permit for another attempt"));
            }
            let Some(placement) = self.request.place().await else {
                return Err(self.abort(cause));
            };
            if suspect::admit(&mut self.request, &placement).await.is_err() {
                return Err(self.abort("the request may crash upstreams"));
            }
            key = placement.key;
            let Ok(permit) = quota::spend(&mut self.request).await else {
                return Err(self.abort("the account has no permit for another attempt"));
            };
            match attempt::send(
                &self.request,
                &placement,
                self.last_event,
                self.gap_timeout_ms(),
            )
            .await
            {
                Ok(response) if response.head.status.is_success() => {
                    self.decoder = Decoder::default();
                    self.last_event_at = self.request.state.now();
                    self.source = Some(Source::Upstream(Box::new(response)));
                    let begun_version = std::mem::replace(&mut self.placement, placement).version;
                    self.request.log_continuation(
                        &self.placement,
                        self.last_event.unwrap_or_default(),
                        &self.request.attempt_id,
                        &begun_version,
                    );
                    return Ok(());
                }
                Ok(mut response) => {
                    response.guard.record_response(response.head.status);
                    failure = Failure::Unknown;
                }
                Err(other) => {
                    failure = other;
                    if failure.did_not_run() {
                        self.request.permit = permit.map(SpentPermit::restore);
                    }
                }
            }
        }
    }

    /// Continues the stream through another instance.
    async fn resume_elsewhere(&mut self, cause: &'static str) -> Result<(), ResponseAborted> {
        let may_relay = self.request.relayed_by.is_none() && self.turn.transcript.is_none();
        let Some(last_event) = self.last_event.filter(|_| may_relay) else {
            return Err(self.abort(cause));
        };
        let continued = relay::continue_stream(&mut self.request, last_event).await;
        let Some(continuation) = continued else {
            return Err(self.abort(cause));
        };
        // The other instance takes tokens for the rest of the stream itself.
        self.reserved = None;
        self.decoder = Decoder::default();
        self.last_event_at = self.request.state.now();
        self.source = Some(Source::Relay(Box::new(continuation)));
        Ok(())
    }

    /// Ends a stream of more events than its request allows.
    fn abort_endless(&mut self) -> ResponseAborted {
        let cause = "the stream has more events than its request allows";
        if let Some(mut source) = self.source.take() {
            source.fail(AttemptOutcome::Broken);
            attempt::record_failure(&self.request, source.id(), Failure::Unknown, cause);
        }
        self.abort(cause)
    }

    fn abort(&self, cause: &'static str) -> ResponseAborted {
        self.request.mark_logged();
        let ms = self.request.elapsed_ms();
        let state = &self.request.state;
        state
            .metrics
            .request(&self.request.service, metric::Outcome::Broken, ms);
        if !state.allows_log_line(Event::Broken) {
            return ResponseAborted;
        }
        event!(
            self.request.state.log,
            Event::Broken,
            "request" => &*self.request.attempt_id,
            "account" => self.request.account(),
            "events" => self.events,
            "cause" => cause,
            "ms" => self.request.state.now().since(self.request.arrived)
        );
        ResponseAborted
    }

    /// Records the timing of the turn for admission control, if it took a single attempt.
    fn record_turn_timing(&self, running: Option<&RunningTurn>) {
        if self.request.tried.len() > 1 {
            return;
        }
        let timings = self.request.timings;
        let state = &self.request.state;
        let first_event_ms = timings.first_event_ms.saturating_sub(timings.placed_ms) as f64;
        let turn_ms = timings.last_event_ms.saturating_sub(timings.placed_ms) as f64;
        let slowdown = state
            .admission()
            .slowdown(&self.request.service, state.now());
        let read_tokens = self.placement.unread_tokens + self.placement.queued_tokens;
        state.fleet().speed_mut(&self.request.service).record_turn(
            read_tokens,
            first_event_ms,
            turn_ms,
            slowdown,
        );
        let turn = TurnTiming {
            unread_tokens: self.placement.unread_tokens,
            first_event_ms,
            streaming_ms: timings.last_event_ms.saturating_sub(timings.first_event_ms) as f64,
            events: self.events,
        };
        let program = self.request.headers.program.as_ref();
        let remaining_ms = program.and_then(|program| program.remaining_ms);
        let of_program = remaining_ms.map(|remaining_ms| ProgramTurn {
            route: &self.request.route,
            is_first: self.request.starts_program,
            remaining_ms,
        });
        let service = &self.request.service;
        let mut admission = state.admission();
        admission.record(service, turn, running, of_program, state.now());
    }

    /// Stores the turn, then ends the response.
    async fn finish(&mut self) -> Result<Option<Bytes>, ResponseAborted> {
        let response = match self.source.take() {
            None => return Ok(None),
            Some(Source::Relay(continuation)) => {
                let instance = Arc::clone(continuation.instance());
                continuation.finish();
                self.request.record_relayed(&instance, self.status);
                return Ok(None);
            }
            Some(Source::Upstream(response)) => response,
        };
        let upstream = response.upstream.clone();
        self.request.timings.last_event_ms = self.request.elapsed_ms();
        self.record_turn_timing(response.guard.turn());
        response.finish();
        if let Some(transcript) = self.turn.transcript.take() {
            let turn = turn_store::Turn {
                transcript: transcript.finish(),
                upstream,
            };
            let request = &self.request;
            let committed = turn_store::commit(
                &request.state,
                &request.scoped(&request.attempt_id),
                turn,
                request.retention_ms,
                request.deadline,
            )
            .await;
            if committed.is_err() {
                return Err(self.abort("the turn could not be stored"));
            }
        }
        self.request
            .record_completion(&self.placement, self.status, self.events);
        Ok(None)
    }
}
