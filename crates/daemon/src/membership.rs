//! Which instances live, and which of them owns what.

use std::net::SocketAddr;

use basilramp_core::id;
use tokio::sync::oneshot;

/// An instance that can be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its name.
    pub(crate) id: id::Instance,
    /// Its start.
    pub(crate) incarnation: id::Incarnation,
    /// Where it takes frames.
    pub(crate) address: SocketAddr,
}

/// What changed in what this instance owns.
#[derive(Debug)]
pub(crate) enum Change {
    /// A partition is owned from now on.
    Gained(id::Partition, id::Term),
    /// A partition is to be handed over; the sender is answered once its programs are let go.
    Losing(id::Partition, oneshot::Sender<()>),
    /// The instance was fenced: everything it owned is lost at once.
    Fenced,
}

/// Answers questions about membership.
#[derive(Clone, Debug)]
pub(crate) struct Handle;

impl Handle {
    /// Returns the term under which this instance owns a partition now, if it does.
    ///
    /// Nothing is owned while the lease, counted from before the last renewal was sent, has run
    /// out.
    pub(crate) fn owned(&self, _partition: id::Partition) -> Option<id::Term> {
        None
    }

    /// Returns the instance believed to own a partition.
    pub(crate) fn owner(&self, _partition: id::Partition) -> Option<Peer> {
        None
    }

    /// Returns the home instance of an upstream.
    pub(crate) fn home(&self, _upstream: &id::Upstream) -> Option<Peer> {
        None
    }

    /// Returns the instances that live, this one among them.
    pub(crate) fn live(&self) -> Vec<Peer> {
        Vec::new()
    }

    /// Returns every instance known, for operators.
    pub(crate) fn instances(&self) -> Vec<basilramp_wire::operator::Instance> {
        Vec::new()
    }

    /// Returns this instance.
    pub(crate) fn own(&self) -> id::Instance {
        id::Instance::new("")
    }
}
