//! Slots at upstreams: asks the homes, on behalf of calls of the programs owned here.

use std::net::SocketAddr;

use basilramp_core::id;
use basilramp_wire::api::Usage;
use basilramp_wire::error::{Error, Kind};

/// What a call needs.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    /// The program.
    pub(crate) program: id::Program,
    /// Its account.
    pub(crate) account: id::Account,
    /// The service called.
    pub(crate) service: id::Service,
    /// Tokens of service that the program has had.
    pub(crate) attained: u64,
    /// Prompt tokens of the call, at most.
    pub(crate) prompt: u64,
    /// Output tokens of the call, at most.
    pub(crate) output: u64,
    /// Milliseconds that the call may wait.
    pub(crate) wait_ms: u64,
    /// Upstreams that must not be chosen.
    pub(crate) avoid: Vec<id::Upstream>,
}

/// A slot at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// The upstream.
    pub(crate) upstream: id::Upstream,
    /// Where it takes calls.
    pub(crate) address: SocketAddr,
    /// Names the grant at the upstream's home.
    pub(crate) ticket: u64,
}

/// How a call ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It was answered whole.
    Done(Usage),
    /// It was never sent, or cancelled by this side.
    Cancelled,
    /// The upstream failed.
    Failed,
}

/// Asks for slots and gives them back.
#[derive(Clone, Debug)]
pub(crate) struct Handle;

impl Handle {
    /// Waits for a slot at the best upstream for the call.
    pub(crate) async fn acquire(&self, _want: &Want) -> Result<Grant, Error> {
        Err(Error::new(Kind::UpstreamUnavailable, "not built yet"))
    }

    /// Gives a slot back.
    pub(crate) fn give_back(&self, _grant: Grant, _end: End) {}
}
