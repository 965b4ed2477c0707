//! Measures one call, from its arrival to its last event.

use std::time::Instant;

use basilramp_wire::api::Event;
use basilramp_wire::error::{Error, Kind};

use crate::log::{self, Event as LogEvent, event};
use crate::metric::{Handle, Outcome, Request};

/// A call under way; dropped before its last event it counts as cancelled.
#[derive(Debug)]
pub(crate) struct Meter {
    metrics: Handle,
    log: log::Handle,
    arrival: Instant,
    has_token: bool,
    has_ended: bool,
}

impl Meter {
    /// Starts to measure a call that has just arrived.
    pub(crate) fn start(metrics: Handle, log: log::Handle) -> Self {
        Self {
            metrics,
            log,
            arrival: Instant::now(),
            has_token: false,
            has_ended: false,
        }
    }

    /// Notes an event that is sent to the caller.
    pub(crate) fn note(&mut self, event: &Event) {
        let ms = self.arrival.elapsed().as_millis() as u64;
        match event {
            Event::Token(_) if self.has_token => {}
            Event::Token(_) => {
                self.has_token = true;
                self.metrics.first_token(ms);
            }
            Event::Final(last) => {
                self.metrics.call_latency(ms);
                event!(self.log, LogEvent::CallDone,
                    "program" => last.program.as_str(), "position" => last.position, "ms" => ms);
                if !last.recorded {
                    self.metrics.tokens(last.usage);
                }
                self.end(Outcome::Done);
            }
            Event::Error(error) => self.refused(error),
        }
    }

    /// Notes that the call ended with an error.
    pub(crate) fn refused(&mut self, error: &Error) {
        let event = match error.kind {
            Kind::Internal => LogEvent::InternalError,
            _ => LogEvent::CallFailed,
        };
        event!(self.log, event, "kind" => error.kind.code(), "message" => error.message.as_str());
        self.end(Outcome::Refused(error.kind));
    }

    fn end(&mut self, outcome: Outcome) {
        self.has_ended = true;
        self.metrics.request(Request::Call, outcome);
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        if !self.has_ended {
            self.metrics.request(Request::Call, Outcome::Cancelled);
        }
    }
}
