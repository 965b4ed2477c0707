//! Records the metrics and log events of one call, from its arrival to its last event.

use std::time::Instant;

use basilramp_wire::api::Event;
use basilramp_wire::error::{Error, Kind};

use crate::log::{self, Event as LogEvent, event};
use crate::metric::{Handle, Outcome, Request};

/// Measures a call in progress; if dropped before the last event, the call counts as cancelled.
#[derive(Debug)]
pub(crate) struct CallMeter {
    metrics: Handle,
    log: log::Handle,
    arrival: Instant,
    first_token_seen: bool,
    is_finished: bool,
}

impl CallMeter {
    /// Starts the measurement of a call at its arrival.
    pub(crate) fn start(metrics: Handle, log: log::Handle) -> Self {
        Self {
            metrics,
            log,
            arrival: Instant::now(),
            first_token_seen: false,
            is_finished: false,
        }
    }

    /// Records an event that is sent to the caller.
    pub(crate) fn observe_event(&mut self, event: &Event) {
        let ms = self.arrival.elapsed().as_millis() as u64;
        match event {
            Event::Token(_) if self.first_token_seen => {}
            Event::Token(_) => {
                self.first_token_seen = true;
                self.metrics.record_first_token(ms);
            }
            Event::Final(result) => {
                self.metrics.record_call_latency(ms);
                event!(self.log, LogEvent::CallDone,
                    "program" => result.program.as_str(),
                    "position" => result.position, "ms" => ms);
                if !result.recorded {
                    self.metrics.count_tokens(result.usage);
                }
                self.finish(Outcome::Completed);
            }
            Event::Error(error) => self.record_error(error),
        }
    }

    /// Records that the call ended with an error.
    pub(crate) fn record_error(&mut self, error: &Error) {
        let event = match error.kind {
            Kind::Internal => LogEvent::InternalError,
            _ => LogEvent::CallFailed,
        };
        event!(self.log, event, "kind" => error.kind.code(), "message" => error.message.as_str());
        self.finish(Outcome::Rejected(error.kind));
    }

    fn finish(&mut self, outcome: Outcome) {
        self.is_finished = true;
        self.metrics.count_request(Request::Call, outcome);
    }
}

impl Drop for CallMeter {
    fn drop(&mut self) {
        if !self.is_finished {
            self.metrics
                .count_request(Request::Call, Outcome::Cancelled);
        }
    }
}
