//! The programs owned here.

use basilramp_core::id;
use basilramp_wire::api;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Settlement;
use tokio::sync::mpsc;

/// Runs commands on the programs owned here, and reads them.
#[derive(Clone, Debug)]
pub(crate) struct Handle;

impl Handle {
    /// Creates a program.
    pub(crate) async fn create(
        &self,
        _account: &id::Account,
        _create: api::Create,
    ) -> Result<api::Program, Error> {
        Err(Error::new(Kind::NotReady, "not built yet"))
    }

    /// Runs a call and sends its events; the last is `Final` or `Error`.
    ///
    /// The call is cancelled once `events` is closed.
    pub(crate) async fn call(
        &self,
        _account: &id::Account,
        _program: id::Program,
        _call: api::Call,
        _events: mpsc::Sender<api::Event>,
    ) {
    }

    /// Reads a program; an operator reads any.
    pub(crate) async fn read(
        &self,
        _account: Option<&id::Account>,
        _program: id::Program,
    ) -> Result<api::Program, Error> {
        Err(Error::new(Kind::NotReady, "not built yet"))
    }

    /// Ends a program and has everything that upstreams hold for it released.
    pub(crate) async fn end(
        &self,
        _account: &id::Account,
        _program: id::Program,
    ) -> Result<api::Program, Error> {
        Err(Error::new(Kind::NotReady, "not built yet"))
    }

    /// Settles a call in doubt by an operator's word.
    pub(crate) async fn settle(
        &self,
        _operator: &str,
        _program: id::Program,
        _settlement: Settlement,
    ) -> Result<api::Program, Error> {
        Err(Error::new(Kind::NotReady, "not built yet"))
    }

    /// Waits until no call of a partition is under way, then forgets its programs.
    pub(crate) async fn let_go(&self, _partition: id::Partition) {}
}
