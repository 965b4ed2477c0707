//! Routes each request to the instance that owns its partition, which is this one or a peer.

use std::time::Duration;

use basilramp_core::id;
use basilramp_wire::api::{self, Event};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body, Reply};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::membership::{self, Peer};
use crate::trace::{self, Hop};
use crate::{admission, config, home, metric, order, peer_client, program, shutdown};

/// Maximum time that a request waits for its partition to have a reachable owner.
const OWNER_TIMEOUT_MS: u64 = 8_000;

/// Time between two attempts to reach the owner.
const OWNER_RETRY_DELAY_MS: u64 = 100;

/// Retry delay returned to the caller if no owner was reached.
const RETRY_AFTER_MS: u64 = 1_000;

/// Maximum number of events of a call buffered for a slow caller.
const EVENT_BUFFER: usize = 32;

/// Executes requests on this instance, whether they come from a caller or from a peer.
#[derive(Clone, Debug)]
pub(crate) struct LocalHandler {
    pub(crate) programs: program::Handle,
    pub(crate) homes: home::Handle,
    pub(crate) config: config::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) shutdown: shutdown::Handle,
    pub(crate) admission: admission::Handle,
    pub(crate) orders: order::Handle,
}

impl LocalHandler {
    /// Executes a call and sends its events to `events`.
    pub(crate) async fn run_call(
        &self,
        account: id::Account,
        program: id::Program,
        call: api::Call,
        events: mpsc::Sender<Event>,
    ) {
        self.programs.call(&account, program, call, events).await;
    }

    /// Rejects new programs while this instance shuts down.
    ///
    /// `OwnerUnavailable` makes the router of the entry instance retry until there is a new owner.
    fn check_accepting_programs(&self) -> Result<(), Error> {
        if self.shutdown.is_stopping() {
            let message = "the owner is stopping";
            return Err(Error::new(Kind::OwnerUnavailable, message));
        }
        Ok(())
    }

    /// Executes a request with a single reply, which is any request but a call.
    pub(crate) async fn handle(&self, body: Body) -> Result<Reply, Error> {
        match body {
            Body::Create { account, create } => {
                self.check_accepting_programs()?;
                let account = id::Account::new(account);
                self.programs
                    .create(&account, create)
                    .await
                    .map(Reply::Program)
            }
            Body::Read { account, program } => {
                let account = account.map(id::Account::new);
                let program = parse_program_id(&program)?;
                self.programs
                    .read(account.as_ref(), program)
                    .await
                    .map(Reply::Program)
            }
            Body::End { account, program } => {
                let account = id::Account::new(account);
                let program = parse_program_id(&program)?;
                self.programs
                    .end(&account, program)
                    .await
                    .map(Reply::Program)
            }
            Body::Settle {
                operator,
                program,
                settlement,
            } => {
                let program = parse_program_id(&program)?;
                self.programs
                    .settle(&operator, program, settlement)
                    .await
                    .map(Reply::Program)
            }
            Body::Grant(grant) => self.homes.grant(grant).await,
            Body::Digests => Ok(Reply::Digests(self.homes.digests())),
            Body::Return(slot_return) => {
                self.homes.release_slot(slot_return);
                Ok(Reply::Done)
            }
            Body::Release { upstream, program } => {
                self.homes.release_program(&upstream, &program);
                Ok(Reply::Done)
            }
            Body::Admit { account, program } => {
                let program = parse_program_id(&program)?;
                let account = id::Account::new(account);
                self.admission
                    .count_program(&account, program)
                    .map(|()| Reply::Done)
            }
            Body::Programs { instance, accounts } => {
                self.admission.record_programs(&instance, accounts);
                Ok(Reply::Done)
            }
            Body::Ended { programs } => {
                let programs = programs.iter().filter_map(|program| program.parse().ok());
                let ended = self.programs.filter_ended(programs.collect()).await;
                Ok(Reply::Ended(
                    ended.iter().map(id::Program::to_string).collect(),
                ))
            }
            Body::Config(head) => {
                self.config.notify_version(head.version);
                Ok(Reply::Done)
            }
            Body::Order { upstream, order } => {
                let upstream = id::Upstream::new(upstream);
                self.orders
                    .submit(upstream, order)
                    .await
                    .map(Reply::Ordered)
            }
            Body::HandOver { .. } => {
                self.membership.wake_watcher();
                Ok(Reply::Done)
            }
            Body::UnrecordedCrash { fingerprint } => {
                let is_unrecorded = self.programs.has_unrecorded_crash(&fingerprint);
                Ok(Reply::UnrecordedCrash(is_unrecorded))
            }
            Body::Call { .. } => Err(Error::new(Kind::Internal, "a call has no single reply")),
        }
    }
}

/// Finds the owner of a request's partition and forwards the request to it.
#[derive(Clone, Debug)]
pub(crate) struct OwnerRouter {
    pub(crate) local: LocalHandler,
    pub(crate) membership: membership::Handle,
    pub(crate) peers: peer_client::Client,
    pub(crate) metrics: metric::Handle,
}

impl OwnerRouter {
    /// Forwards a request whose reply is a program to the program's owner.
    ///
    /// # Errors
    ///
    /// As for [`OwnerRouter::request`]; `Internal` if the reply is of another type.
    pub(crate) async fn request_program(
        &self,
        program: id::Program,
        body: Body,
    ) -> Result<api::Program, Error> {
        match self.request(program.partition(), body).await? {
            Reply::Program(program) => Ok(program),
            _ => Err(unexpected_reply()),
        }
    }

    /// Forwards a request to the owner of `partition` and returns its single reply. A read is
    /// repeated if the connection to the owner is lost, as it changes nothing.
    ///
    /// # Errors
    ///
    /// `OwnerUnavailable` if no owner was reached within [`OWNER_TIMEOUT_MS`]; otherwise, the error
    /// of the owner or of the connection to it.
    pub(crate) async fn request(
        &self,
        partition: id::Partition,
        body: Body,
    ) -> Result<Reply, Error> {
        let deadline = Instant::now() + Duration::from_millis(OWNER_TIMEOUT_MS);
        let is_read = matches!(body, Body::Read { .. });
        loop {
            let error = match self.try_request(partition, body.clone()).await {
                Err(error) if error.kind == Kind::OwnerUnavailable => error,
                Err(error) if error.kind == Kind::Interrupted && is_read => error,
                result => return result,
            };
            if Instant::now() >= deadline {
                return Err(error.retry_after(RETRY_AFTER_MS));
            }
            sleep(Duration::from_millis(OWNER_RETRY_DELAY_MS)).await;
        }
    }

    async fn try_request(&self, partition: id::Partition, body: Body) -> Result<Reply, Error> {
        let owner = self.find_owner(partition)?;
        if owner.id == self.membership.own_id() {
            return trace::in_child_span(Hop::Owner, self.local.handle(body)).await;
        }
        self.metrics.count_forward();
        trace::in_child_span(Hop::Forward, self.peers.request(&owner, body)).await
    }

    /// Forwards a call to the owner of its program and streams its events.
    ///
    /// Dropping the receiver cancels the call.
    pub(crate) fn start_call(
        &self,
        account: id::Account,
        program: id::Program,
        call: api::Call,
    ) -> mpsc::Receiver<Event> {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let router = self.clone();
        tokio::spawn(trace::in_current_span(async move {
            router.run_call(account, program, call, sender).await;
        }));
        receiver
    }

    async fn run_call(
        &self,
        account: id::Account,
        program: id::Program,
        call: api::Call,
        sender: mpsc::Sender<Event>,
    ) {
        let deadline = Instant::now() + Duration::from_millis(OWNER_TIMEOUT_MS);
        loop {
            let mut events = match self.try_call(&account, program, &call).await {
                Ok(events) => events,
                Err(error) => {
                    if self.wait_for_retry(&error, deadline, &sender).await {
                        continue;
                    }
                    let _ = sender.send(Event::Error(error)).await;
                    return;
                }
            };
            let first = tokio::select! {
                first = events.recv() => first.unwrap_or_else(|| Event::Error(interrupted_error())),
                () = sender.closed() => return,
            };
            if let Event::Error(error) = &first
                && self.wait_for_retry(error, deadline, &sender).await
            {
                continue;
            }
            forward_events(first, events, &sender).await;
            return;
        }
    }

    /// Waits until the next attempt and returns whether to make it.
    ///
    /// No attempt is made if the owner may have run the call, if the deadline has passed or if the
    /// caller has cancelled the call.
    async fn wait_for_retry(
        &self,
        error: &Error,
        deadline: Instant,
        sender: &mpsc::Sender<Event>,
    ) -> bool {
        if error.kind != Kind::OwnerUnavailable || Instant::now() >= deadline {
            return false;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(OWNER_RETRY_DELAY_MS)) => true,
            () = sender.closed() => false,
        }
    }

    async fn try_call(
        &self,
        account: &id::Account,
        program: id::Program,
        call: &api::Call,
    ) -> Result<mpsc::Receiver<Event>, Error> {
        let owner = self.find_owner(program.partition())?;
        if owner.id == self.membership.own_id() {
            let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
            let local = self.local.clone();
            let (account, call) = (account.clone(), call.clone());
            tokio::spawn(trace::in_child_span(Hop::Owner, async move {
                local.run_call(account, program, call, sender).await;
            }));
            return Ok(receiver);
        }
        let body = Body::Call {
            account: account.to_string(),
            program: program.to_string(),
            call: call.clone(),
        };
        self.metrics.count_forward();
        let replies =
            trace::in_child_span(Hop::Forward, self.peers.request_stream(&owner, body)).await?;
        Ok(events_from_replies(replies))
    }

    fn find_owner(&self, partition: id::Partition) -> Result<Peer, Error> {
        self.membership.owner(partition).ok_or_else(|| {
            let message = format!("partition {} currently has no owner", partition.0);
            Error::new(Kind::OwnerUnavailable, message)
        })
    }
}

/// Converts a peer's replies to events, and drops the replies once the receiver is dropped.
fn events_from_replies(mut replies: mpsc::Receiver<Reply>) -> mpsc::Receiver<Event> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                () = sender.closed() => return,
            };
            let event = match reply {
                Some(Reply::Event(event)) => event,
                Some(Reply::Error(error)) => Event::Error(error),
                Some(_) => Event::Error(interrupted_error()),
                None => return,
            };
            if sender.send(event).await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// Sends events until the last one, or until the receiver is dropped.
///
/// If the events end too early, an `Interrupted` error is sent as the last one.
async fn forward_events(
    first: Event,
    mut events: mpsc::Receiver<Event>,
    sender: &mpsc::Sender<Event>,
) {
    let mut event = first;
    loop {
        let is_last = matches!(event, Event::Final(_) | Event::Error(_));
        if sender.send(event).await.is_err() || is_last {
            return;
        }
        event = tokio::select! {
            next = events.recv() => next.unwrap_or_else(|| Event::Error(interrupted_error())),
            () = sender.closed() => return,
        };
    }
}

fn interrupted_error() -> Error {
    Error::new(Kind::Interrupted, "the response was interrupted")
}

/// Returns the error for a reply whose type does not match the request.
pub(crate) fn unexpected_reply() -> Error {
    Error::new(Kind::Internal, "unexpected reply type from an instance")
}

/// Parses a program id; a malformed one gives the same `NotFound` error as an unknown program.
pub(crate) fn parse_program_id(text: &str) -> Result<id::Program, Error> {
    text.parse()
        .map_err(|_| Error::new(Kind::NotFound, "no such program"))
}
