//! Answers that are event streams.

use std::time::Duration;

use basilramp_adapter::header;
use basilramp_core::dispatch::attempt::{Failure, Next};
use basilramp_core::dispatch::door::Turn;
use basilramp_core::dispatch::event::{Event as Piece, Splitter};
use basilramp_core::dispatch::fleet::Outcome;
use basilramp_core::dispatch::place::Choice;
use basilramp_core::dispatch::transcript::Draft;
use basilramp_process::event;
use bytes::Bytes;
use futures_util::stream;
use http::{Response, response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use crate::budget::Taken;
use crate::exchange::{self, Reply};
use crate::history;
use crate::job::Job;
use crate::log_event::Event;
use crate::metric;
use crate::serve::{Body, Broken};

/// The longest pause of a resumable stream until another upstream goes on with it: several
/// times the pause that callers accept.
const GAP_MS: u64 = 1_000;

/// A stream whose first event has come.
#[derive(Debug)]
pub(crate) struct Stream {
    reply: Reply,
    splitter: Splitter,
    first: Option<Piece>,
}

/// A stream that is passed on.
struct Relay {
    job: Job,
    choice: Choice,
    reply: Option<Reply>,
    splitter: Splitter,
    first: Option<Piece>,
    last_event: Option<u64>,
    events: u64,
    taken: Option<Taken>,
    draft: Option<Draft>,
}

/// What came of reading on.
enum Read {
    /// Whole events.
    Events(Vec<Piece>),
    /// The stream ended as it should.
    End,
    /// It broke off.
    Broken(&'static str),
}

impl Stream {
    /// Waits for the first event.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks off before it, or it does not come in time.
    pub(crate) async fn first(job: &Job, mut reply: Reply, limit_ms: u64) -> Result<Self, Failure> {
        let mut splitter = Splitter::default();
        let limit = Duration::from_millis(limit_ms.min(job.left_ms()));
        let read = tokio::time::timeout(limit, next_event(&mut reply, &mut splitter)).await;
        let (first, cause) = match read {
            Ok(Ok(first)) => (first, None),
            Ok(Err(cause)) => (None, Some(cause)),
            Err(_) => (None, Some("no event in time")),
        };
        if let Some(cause) = cause {
            reply.lease.fail(Outcome::Failed);
            exchange::failed(job, &reply.upstream, Failure::Unknown, cause);
            return Err(Failure::Unknown);
        }
        reply.lease.answered();
        Ok(Self {
            reply,
            splitter,
            first,
        })
    }

    /// Makes the answer: its head now, its events as they come.
    pub(crate) fn respond(
        mut self,
        job: Job,
        choice: Choice,
        taken: Option<Taken>,
        draft: Option<Draft>,
    ) -> Response<Body> {
        let mut head: response::Parts = Response::new(()).into_parts().0;
        head.status = self.reply.head.status;
        head.headers = std::mem::take(&mut self.reply.head.headers);
        header::remove_hop_by_hop(&mut head.headers);
        let is_ended = self.first.is_none();
        let relay = Relay {
            job,
            choice,
            reply: Some(self.reply),
            splitter: self.splitter,
            first: self.first,
            last_event: None,
            events: 0,
            taken,
            draft,
        };
        let frames = stream::unfold((Some(relay), is_ended), |(relay, is_ended)| async move {
            let mut relay = relay?;
            match relay.next(is_ended).await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), (Some(relay), false))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), (None, false))),
            }
        });
        Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
    }
}

/// Reads on until an event is whole; none if the stream ends first.
async fn next_event(
    reply: &mut Reply,
    splitter: &mut Splitter,
) -> Result<Option<Piece>, &'static str> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Some(event));
        }
        match reply.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                }
            }
            Some(Err(_)) => return Err("the stream broke off"),
            None if splitter.is_amid() => return Err("the stream ended within an event"),
            None => return Ok(None),
        }
    }
}

impl Relay {
    /// Returns the next events; none once the answer is complete.
    async fn next(&mut self, is_ended: bool) -> Result<Option<Bytes>, Broken> {
        if let Some(first) = self.first.take() {
            let mut events = vec![first];
            while let Some(event) = self.splitter.next_event() {
                events.push(event);
            }
            return Ok(Some(self.pass(events)));
        }
        if is_ended {
            return self.finish().await;
        }
        loop {
            match self.read().await {
                Read::Events(events) => return Ok(Some(self.pass(events))),
                Read::End => return self.finish().await,
                Read::Broken(cause) => self.resume(cause).await?,
            }
        }
    }

    async fn read(&mut self) -> Read {
        let Some(reply) = &mut self.reply else {
            return Read::Broken("no upstream");
        };
        let gap_ms = if self.job.kind.is_idempotent() {
            GAP_MS
        } else {
            u64::MAX
        };
        let limit_ms = gap_ms.min(self.job.ends.since(self.job.state.now()));
        let limit = Duration::from_millis(limit_ms);
        let next = next_event(reply, &mut self.splitter);
        match tokio::time::timeout(limit, next).await {
            Ok(Ok(Some(event))) => {
                let mut events = vec![event];
                while let Some(event) = self.splitter.next_event() {
                    events.push(event);
                }
                Read::Events(events)
            }
            Ok(Ok(None)) => Read::End,
            Ok(Err(cause)) => Read::Broken(cause),
            Err(_) => Read::Broken("no event in time"),
        }
    }

    /// Notes events, and returns their bytes.
    fn pass(&mut self, events: Vec<Piece>) -> Bytes {
        let event_tokens = self
            .job
            .engine
            .as_ref()
            .map_or(1, |engine| engine.event_tokens);
        let mut bytes = Vec::new();
        for event in events {
            self.events += 1;
            self.last_event = event.id.or(self.last_event);
            if let Some(taken) = &mut self.taken {
                taken.spend(u64::from(event_tokens));
            }
            if let (Some(draft), Some(data)) = (&mut self.draft, &event.data) {
                draft.push(data);
            }
            bytes.extend_from_slice(&event.bytes);
        }
        bytes.into()
    }

    /// Goes on at another upstream after the last event that was passed on.
    async fn resume(&mut self, cause: &'static str) -> Result<(), Broken> {
        if let Some(mut reply) = self.reply.take() {
            reply.lease.fail(Outcome::Failed);
        }
        let mut failure = Failure::Unknown;
        loop {
            let may_resume = self.job.kind.is_idempotent() && self.last_event.is_some();
            if !may_resume || self.job.after(failure) != Next::Retry {
                return Err(self.broken(cause));
            }
            let Some(choice) = self.job.pick() else {
                return Err(self.broken(cause));
            };
            match exchange::send(&self.job, &choice, self.last_event, GAP_MS).await {
                Ok(reply) if reply.head.status.is_success() => {
                    self.splitter = Splitter::default();
                    self.reply = Some(reply);
                    self.choice = choice;
                    return Ok(());
                }
                Ok(_) => failure = Failure::Unknown,
                Err(other) => failure = other,
            }
        }
    }

    fn broken(&self, cause: &'static str) -> Broken {
        self.job.told();
        let ms = self.job.elapsed_ms();
        let state = &self.job.state;
        state
            .metrics
            .request(&self.job.service, metric::Outcome::Broken, ms);
        if !state.admits(Event::Broken) {
            return Broken;
        }
        event!(
            self.job.state.log,
            Event::Broken,
            "request" => &*self.job.attempt,
            "events" => self.events,
            "cause" => cause,
            "ms" => self.job.state.now().since(self.job.arrived)
        );
        Broken
    }

    /// Notes how fast the turn was, if a single attempt made it.
    fn note_pace(&self) {
        if self.job.tried.len() > 1 {
            return;
        }
        let times = self.job.times;
        let turn = Turn {
            unread: self.choice.unread,
            first_ms: times.first.saturating_sub(times.placed) as f64,
            rest_ms: times.last.saturating_sub(times.first) as f64,
            events: self.events,
        };
        let state = &self.job.state;
        state.door().note(&self.job.service, turn, state.now());
    }

    /// Makes the turn durable, then lets the answer end.
    async fn finish(&mut self) -> Result<Option<Bytes>, Broken> {
        let Some(reply) = self.reply.take() else {
            return Ok(None);
        };
        let upstream = reply.upstream.clone();
        let status = reply.head.status.as_u16();
        self.job.times.last = self.job.elapsed_ms();
        reply.finish();
        self.note_pace();
        if let Some(draft) = self.draft.take() {
            let turn = history::Turn {
                transcript: draft.finish(),
                upstream,
            };
            let job = &self.job;
            let committed =
                history::commit(&job.state, &job.attempt, turn, job.retention_ms, job.ends).await;
            if committed.is_err() {
                return Err(self.broken("the turn could not be stored"));
            }
        }
        self.job.answered(&self.choice, status, self.events);
        Ok(None)
    }
}
