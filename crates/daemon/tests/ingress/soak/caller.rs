//! Callers that run programs with turns and plain requests, with the retries that the platform's
//! documentation allows.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, timeout};

use super::environment::{Environment, INSTANCES};
use super::keys::{ACCOUNTS, KEY_PREFIX};
use crate::support::{Reply, Turn, plain_request, send, send_from, to_public_host, with_key};

/// Number of callers that use accounts with keys.
const KEYED_CALLERS: usize = 5;

/// Time that a caller waits for a response; longer than the deadline that it states.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Attempts of a request, each with an attempt id of its own.
const MAX_ATTEMPTS: u32 = 3;

/// Token budget of an `Advice` program.
pub(super) const BUDGET: u64 = 60;

/// Maximum output tokens stated by a turn of an `Advice` program.
pub(super) const MAX_OUTPUT: u64 = 20;

/// Kinds of requests, each on a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A plain request that may run more than once (safe).
    Read,
    /// A plain request that may run at most once (unsafe).
    Pay,
    /// A turn whose stream may be resumed at another upstream.
    Advice,
    /// A turn that may run at most once and is retained.
    Chat,
}

/// One attempt and the response that the caller received.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) kind: Kind,
    /// Name of the account of the key that was sent.
    pub(super) account: Option<&'static str>,
    pub(super) attempt: String,
    pub(super) program: String,
    /// The body that the upstream has to receive.
    pub(super) body: String,
    /// Attempt id of the previous turn, whose response was complete.
    pub(super) previous: Option<String>,
    /// `None` if there was no response.
    pub(super) reply: Option<Reply>,
}

impl Record {
    /// Returns whether the caller received a complete response of an upstream.
    pub(super) fn is_served(&self) -> bool {
        let reply = self.reply.as_ref();
        reply.is_some_and(|reply| reply.status == StatusCode::OK && reply.is_complete)
    }
}

pub(super) struct Caller {
    environment: Environment,
    name: String,
    /// Index of the caller's account; callers without one use the public routes.
    account: Option<usize>,
    random: ChaCha8Rng,
    attempts: u32,
    records: Vec<Record>,
}

impl Caller {
    pub(super) fn new(environment: &Environment, index: u64, random: ChaCha8Rng) -> Self {
        Self {
            environment: environment.clone(),
            name: format!("c{index}"),
            account: usize::try_from(index)
                .ok()
                .filter(|index| *index < KEYED_CALLERS)
                .map(|index| index % ACCOUNTS.len()),
            random,
            attempts: 0,
            records: Vec::new(),
        }
    }

    /// Runs programs and plain requests until the deadline. Returns the records of all attempts.
    pub(super) async fn run(mut self, deadline: Instant) -> Vec<Record> {
        let mut programs = 0;
        while Instant::now() < deadline {
            programs += 1;
            let program = format!("{}-p{programs}", self.name);
            match self.random.random_range(0..4) {
                0 => self.run_plain(Kind::Read, &program).await,
                1 => self.run_plain(Kind::Pay, &program).await,
                2 => self.run_advice(&program).await,
                _ => self.run_chat(&program).await,
            }
        }
        self.records
    }

    async fn run_plain(&mut self, kind: Kind, program: &str) {
        self.send_request(kind, program, "order", None).await;
    }

    /// Sends up to eight turns, until one is not served, as when the budget is spent.
    async fn run_advice(&mut self, program: &str) {
        for _ in 0..8 {
            if self
                .send_request(Kind::Advice, program, "question", None)
                .await
                .is_none()
            {
                return;
            }
        }
    }

    /// Sends up to five turns, each of which continues the previous one.
    async fn run_chat(&mut self, program: &str) {
        let mut transcript = String::new();
        let mut previous: Option<String> = None;
        for turn in 0..5 {
            transcript.push_str(&format!("input {turn},"));
            let served = self
                .send_request(Kind::Chat, program, &transcript, previous)
                .await;
            let Some(attempt) = served else {
                return;
            };
            transcript.push_str("t1\nt2\nt3\n");
            previous = Some(attempt);
        }
    }

    /// Sends a request with the allowed retries. Returns the id of the attempt that was served.
    async fn send_request(
        &mut self,
        kind: Kind,
        program: &str,
        body: &str,
        previous: Option<String>,
    ) -> Option<String> {
        for _ in 0..MAX_ATTEMPTS {
            self.attempts += 1;
            let attempt = format!("{}-a{}", self.name, self.attempts);
            let index = self.random.random_range(0..INSTANCES);
            let request = request(kind, program, &attempt, body, previous.as_deref());
            let request = self.add_key(request).await;
            let sent = send(self.environment.address(index), request);
            let reply = timeout(RESPONSE_TIMEOUT, sent).await.ok().flatten();
            let record = Record {
                kind,
                account: self.account.map(|account| ACCOUNTS[account]),
                attempt: attempt.clone(),
                program: program.to_owned(),
                body: body.to_owned(),
                previous: previous.clone(),
                reply,
            };
            let is_served = record.is_served();
            let delay = retry_delay(&record);
            self.records.push(record);
            if is_served {
                return Some(attempt);
            }
            sleep(delay?).await;
        }
        None
    }

    async fn add_key(&mut self, request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
        let Some(account) = self.account else {
            return to_public_host(request);
        };
        let configuration = self.environment.configuration.lock().await;
        with_key(request, &configuration.pick_key(account, &mut self.random))
    }
}

/// Returns the delay before a request may be retried; `None` if it may not.
fn retry_delay(record: &Record) -> Option<Duration> {
    let reply = record.reply.as_ref();
    match reply.map(|reply| reply.status) {
        Some(StatusCode::SERVICE_UNAVAILABLE) => {
            let after = reply.and_then(Reply::retry_after).unwrap_or(0.1);
            Some(Duration::from_secs_f64(after.min(1.0)))
        }
        // The key was revoked, or is not known everywhere yet.
        Some(StatusCode::UNAUTHORIZED) => Some(Duration::from_millis(100)),
        Some(status) if status.is_client_error() => None,
        // A turn is resent from its start after a broken or missing response; an unsafe request
        // must not be resent.
        _ if record.kind != Kind::Pay => Some(Duration::from_millis(100)),
        _ => None,
    }
}

fn request(
    kind: Kind,
    program: &str,
    attempt: &str,
    body: &str,
    previous: Option<&str>,
) -> Request<Full<Bytes>> {
    // A retained turn is sent with its new input only.
    let input = body.rsplit('\n').next().unwrap_or(body);
    let turn = |route, budget, max_output| Turn {
        route,
        attempt,
        program,
        previous,
        budget,
        max_output,
        input,
    };
    match kind {
        Kind::Read => plain_request("read", attempt),
        Kind::Pay => plain_request("pay", attempt),
        Kind::Advice => turn("advice", BUDGET, MAX_OUTPUT).request(),
        Kind::Chat => turn("chat", 10_000, 100).request(),
    }
}

/// Address of the caller whose request crashes upstreams.
const FAULTY_CALLER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Upstreams that a request may crash before every instance has to reject it.
const MAX_CRASHES: usize = 3;

/// Attempts that may reach upstreams after that.
const MAX_LATER_ATTEMPTS: usize = 3;

/// Time after the last fault within which all instances have to know of the crashes.
const STABLE: Duration = Duration::from_secs(3);

/// Sends a request that crashes upstreams to the instances, until the deadline.
pub(super) async fn send_crashing_request(environment: &Environment, deadline: Instant) {
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        send_crashing_try(environment, number).await;
        sleep(Duration::from_millis(400)).await;
    }
}

async fn send_crashing_try(environment: &Environment, number: usize) {
    let request = plain_request("read", &format!("crash-{number}"));
    let request = to_public_host(request.map(|_| Full::from("CRASH now")));
    let sent = send_from(
        FAULTY_CALLER,
        environment.address(number % INSTANCES),
        request,
    );
    // Its response is of no interest, only what it does to upstreams.
    let _ = timeout(RESPONSE_TIMEOUT, sent).await;
}

/// Checks, without further faults, that the request that crashes upstreams is stopped.
pub(super) async fn check_crashing_request(environment: &Environment) -> Result<(), String> {
    sleep(STABLE).await;
    let earlier = environment.crashes();
    for number in 0..4 * INSTANCES {
        send_crashing_try(environment, 1_000 + number).await;
        sleep(Duration::from_millis(100)).await;
    }
    let later = environment.crashes() - earlier;
    let allowed = MAX_CRASHES.saturating_sub(earlier) + MAX_LATER_ATTEMPTS;
    if later > allowed {
        return Err(format!(
            "{later} crashes by a request that had crashed {earlier} upstreams"
        ));
    }
    Ok(())
}

/// Waits until each instance serves every kind of request. Fails after `max_wait`.
pub(super) async fn wait_for_recovery(
    environment: &Environment,
    max_wait: Duration,
) -> Result<(), String> {
    let deadline = Instant::now() + max_wait;
    for index in 0..INSTANCES {
        for kind in [Kind::Read, Kind::Pay, Kind::Advice, Kind::Chat] {
            let mut attempts = 0;
            loop {
                attempts += 1;
                let attempt = format!("after-{index}-{kind:?}-{attempts}");
                let request = request(kind, &attempt, &attempt, "input", None);
                let request = to_public_host(request);
                let sent = send(environment.address(index), request);
                let reply = timeout(RESPONSE_TIMEOUT, sent).await.ok().flatten();
                if reply.is_some_and(|reply| reply.status == StatusCode::OK) {
                    break;
                }
                if Instant::now() >= deadline {
                    let instance = environment.instances[index].lock().await;
                    let suspects = instance.operator("GET", "/suspects").await.body;
                    return Err(format!(
                        "instance {index} does not serve {kind:?} requests again; {suspects}"
                    ));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
    Ok(())
}

/// Time after the last fault within which all instances serve exactly the keys in force.
const KEYS_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a line for each instance that does not serve the keys in force, serves a revoked one, or has
/// logged one.
pub(super) async fn check_keys(environment: &Environment) -> Vec<String> {
    let (valid, revoked) = {
        let configuration = environment.configuration.lock().await;
        (configuration.valid(), configuration.revoked())
    };
    let valid = valid.into_iter().map(|key| (key, StatusCode::OK));
    let revoked = revoked.into_iter();
    let revoked = revoked.map(|key| (key, StatusCode::UNAUTHORIZED));
    let expected: Vec<_> = valid.chain(revoked).collect();
    let deadline = Instant::now() + KEYS_TIMEOUT;
    let mut violations = Vec::new();
    for index in 0..INSTANCES {
        for (number, ((account, key), status)) in expected.iter().enumerate() {
            let mut tries = 0;
            loop {
                tries += 1;
                let attempt = format!("key-{index}-{number}-{tries}");
                let request = with_key(plain_request("read", &attempt), key);
                let reply = send(environment.address(index), request).await;
                let received = reply.map(|reply| reply.status);
                if received == Some(*status) {
                    break;
                }
                if Instant::now() >= deadline {
                    let name = ACCOUNTS[*account];
                    violations.push(format!(
                        "instance {index}: {received:?} for {key} of {name}, not {status}"
                    ));
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        let log = environment.instances[index].lock().await.log_text();
        let lines = log.lines().filter(|line| line.contains(KEY_PREFIX));
        violations.extend(lines.map(|line| format!("instance {index} logged a key: {line}")));
    }
    violations
}
