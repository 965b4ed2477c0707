//! Homes of upstreams: grants, queues, loads, orders and releases for those homed here.

use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame;

/// Answers other instances about the upstreams homed here.
#[derive(Clone, Debug)]
pub(crate) struct Handle;

impl Handle {
    /// Grants a slot, or waits for one as long as the asker does.
    pub(crate) async fn grant(&self, _grant: frame::Grant) -> Result<frame::Reply, Error> {
        Err(Error::new(Kind::UpstreamUnavailable, "not built yet"))
    }

    /// Takes a slot back.
    pub(crate) fn take_back(&self, _back: frame::Return) {}

    /// Has an upstream let go of what it holds for a program, with retries.
    pub(crate) fn release(&self, _upstream: &str, _program: &str) {}
}
