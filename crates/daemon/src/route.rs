//! Finds where a request is to be run: here, or at another instance.

use std::time::Duration;

use basilramp_core::id;
use basilramp_wire::api::{self, Event};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body, Reply};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::membership::{self, Peer};
use crate::trace::{self, Hop};
use crate::{admission, config, home, metric, order, peer, program, stop};

/// The longest that a request waits for its partition to have a reachable owner.
const OWNER_WAIT_MS: u64 = 8_000;

/// Time between two looks for the owner.
const OWNER_RETRY_MS: u64 = 100;

/// When a refused caller should try again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Events of a call that wait for a slow caller.
const EVENT_BUFFER: usize = 32;

/// Runs requests at this instance.
#[derive(Clone, Debug)]
pub(crate) struct Local {
    pub(crate) programs: program::Handle,
    pub(crate) homes: home::Handle,
    pub(crate) config: config::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) stop: stop::Signal,
    pub(crate) admission: admission::Handle,
    pub(crate) orders: order::Handle,
}

impl Local {
    /// Runs a call and sends its events.
    pub(crate) async fn call(
        &self,
        account: id::Account,
        program: id::Program,
        call: api::Call,
        events: mpsc::Sender<Event>,
    ) {
        self.programs.call(&account, program, call, events).await;
    }

    /// A stopping instance takes no new programs: the entry instance waits for the next owner.
    fn takes_programs(&self) -> Result<(), Error> {
        if self.stop.is_stopping() {
            let message = "the owner is stopping";
            return Err(Error::new(Kind::OwnerUnavailable, message));
        }
        Ok(())
    }

    /// Runs any other request.
    pub(crate) async fn answer(&self, body: Body) -> Result<Reply, Error> {
        match body {
            Body::Create { account, create } => {
                self.takes_programs()?;
                let account = id::Account::new(account);
                self.programs
                    .create(&account, create)
                    .await
                    .map(Reply::Program)
            }
            Body::Read { account, program } => {
                let account = account.map(id::Account::new);
                let program = parse(&program)?;
                self.programs
                    .read(account.as_ref(), program)
                    .await
                    .map(Reply::Program)
            }
            Body::End { account, program } => {
                let account = id::Account::new(account);
                let program = parse(&program)?;
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
                let program = parse(&program)?;
                self.programs
                    .settle(&operator, program, settlement)
                    .await
                    .map(Reply::Program)
            }
            Body::Grant(grant) => self.homes.grant(grant).await,
            Body::Digests => Ok(Reply::Digests(self.homes.digests())),
            Body::Return(back) => {
                self.homes.release_slot(back);
                Ok(Reply::Done)
            }
            Body::Release { upstream, program } => {
                self.homes.release_program(&upstream, &program);
                Ok(Reply::Done)
            }
            Body::Admit { account, program } => {
                let program = parse(&program)?;
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
                let ended = self.programs.ended(programs.collect()).await;
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
            Body::Call { .. } => Err(Error::new(Kind::Internal, "a call has no single answer")),
        }
    }
}

/// Finds the owner of a request's partition and has the request run there.
#[derive(Clone, Debug)]
pub(crate) struct Router {
    pub(crate) local: Local,
    pub(crate) membership: membership::Handle,
    pub(crate) peers: peer::Client,
    pub(crate) metrics: metric::Handle,
}

impl Router {
    /// Has a request that is answered by a program run by the program's owner.
    ///
    /// # Errors
    ///
    /// As for [`Router::ask`].
    pub(crate) async fn ask_program(
        &self,
        program: id::Program,
        body: Body,
    ) -> Result<api::Program, Error> {
        match self.ask(program.partition(), body).await? {
            Reply::Program(program) => Ok(program),
            _ => Err(wrong_answer()),
        }
    }

    /// Has a request run by the owner of `partition` and returns its one answer.
    ///
    /// # Errors
    ///
    /// `OwnerUnavailable` if no owner was reached within [`OWNER_WAIT_MS`].
    pub(crate) async fn ask(&self, partition: id::Partition, body: Body) -> Result<Reply, Error> {
        let deadline = Instant::now() + Duration::from_millis(OWNER_WAIT_MS);
        loop {
            let error = match self.try_ask(partition, body.clone()).await {
                Err(error) if error.kind == Kind::OwnerUnavailable => error,
                settled => return settled,
            };
            if Instant::now() >= deadline {
                return Err(error.retry_after(RETRY_AFTER_MS));
            }
            sleep(Duration::from_millis(OWNER_RETRY_MS)).await;
        }
    }

    async fn try_ask(&self, partition: id::Partition, body: Body) -> Result<Reply, Error> {
        let owner = self.owner(partition)?;
        if owner.id == self.membership.own_id() {
            return trace::span(Hop::Owner, self.local.answer(body)).await;
        }
        self.metrics.forward();
        trace::span(Hop::Forward, self.peers.ask(&owner, body)).await
    }

    /// Has a call run by its program's owner and returns its events as they come.
    ///
    /// Dropping the receiver cancels the call.
    pub(crate) fn call(
        &self,
        account: id::Account,
        program: id::Program,
        call: api::Call,
    ) -> mpsc::Receiver<Event> {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let router = self.clone();
        tokio::spawn(trace::inherit(async move {
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
        let deadline = Instant::now() + Duration::from_millis(OWNER_WAIT_MS);
        loop {
            let mut events = match self.try_call(&account, program, &call).await {
                Ok(events) => events,
                Err(error) => {
                    if self.may_retry(&error, deadline, &sender).await {
                        continue;
                    }
                    let _ = sender.send(Event::Error(error)).await;
                    return;
                }
            };
            let first = tokio::select! {
                first = events.recv() => first.unwrap_or_else(|| Event::Error(lost())),
                () = sender.closed() => return,
            };
            if let Event::Error(error) = &first
                && self.may_retry(error, deadline, &sender).await
            {
                continue;
            }
            pass_events(first, events, &sender).await;
            return;
        }
    }

    /// Waits for the next look for the owner, unless the call was run, given up or overdue.
    async fn may_retry(
        &self,
        error: &Error,
        deadline: Instant,
        sender: &mpsc::Sender<Event>,
    ) -> bool {
        if error.kind != Kind::OwnerUnavailable || Instant::now() >= deadline {
            return false;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(OWNER_RETRY_MS)) => true,
            () = sender.closed() => false,
        }
    }

    async fn try_call(
        &self,
        account: &id::Account,
        program: id::Program,
        call: &api::Call,
    ) -> Result<mpsc::Receiver<Event>, Error> {
        let owner = self.owner(program.partition())?;
        if owner.id == self.membership.own_id() {
            let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
            let local = self.local.clone();
            let (account, call) = (account.clone(), call.clone());
            tokio::spawn(trace::span(Hop::Owner, async move {
                local.call(account, program, call, sender).await;
            }));
            return Ok(receiver);
        }
        let body = Body::Call {
            account: account.to_string(),
            program: program.to_string(),
            call: call.clone(),
        };
        self.metrics.forward();
        let replies = trace::span(Hop::Forward, self.peers.stream(&owner, body)).await?;
        Ok(events_of(replies))
    }

    fn owner(&self, partition: id::Partition) -> Result<Peer, Error> {
        self.membership.owner(partition).ok_or_else(|| {
            let message = format!("partition {} has no owner now", partition.0);
            Error::new(Kind::OwnerUnavailable, message)
        })
    }
}

/// Turns a peer's replies into events; the reply stream ends when the events are not read.
fn events_of(mut replies: mpsc::Receiver<Reply>) -> mpsc::Receiver<Event> {
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
                Some(_) => Event::Error(lost()),
                None => return,
            };
            if sender.send(event).await.is_err() {
                return;
            }
        }
    });
    receiver
}

async fn pass_events(
    first: Event,
    mut events: mpsc::Receiver<Event>,
    sender: &mpsc::Sender<Event>,
) {
    let mut event = first;
    loop {
        let last = matches!(event, Event::Final(_) | Event::Error(_));
        if sender.send(event).await.is_err() || last {
            return;
        }
        event = tokio::select! {
            next = events.recv() => next.unwrap_or_else(|| Event::Error(lost())),
            () = sender.closed() => return,
        };
    }
}

fn lost() -> Error {
    Error::new(Kind::Interrupted, "the answer broke off")
}

/// Returns what is said if an instance gave an answer of another kind than was asked for.
pub(crate) fn wrong_answer() -> Error {
    Error::new(Kind::Internal, "an instance gave a wrong answer")
}

/// Reads a program id that a peer sent.
pub(crate) fn parse(text: &str) -> Result<id::Program, Error> {
    text.parse()
        .map_err(|_| Error::new(Kind::NotFound, "no such program"))
}
