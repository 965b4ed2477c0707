//! Finds out whether an upstream crashed when its connection ended under a request.
//!
//! Cuts, resets, answers that are lost and planned stops end connections too. An upstream has
//! crashed if it accepts no connection while another upstream does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_adapter::connection::{self, Sender};
use basilramp_adapter::upstream::ConnectionReuse;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::UpstreamKey;
use basilramp_core::id;
use basilramp_process::event;
use rand::seq::IteratorRandom;
use tokio::sync::OnceCell;
use tokio::task::JoinHandle;

use crate::active_request::ActiveRequest;
use crate::log_event::Event;
use crate::metric::Finding;
use crate::state::{State, lock};
use crate::suspect::Interrupted;
use crate::{path, suspect};

/// Delay before an upstream is probed, as a process that ends may close its connections before its
/// listener; and before an accepted probe counts.
const PROBE_DELAY: Duration = Duration::from_millis(10);

/// Time for which an accepted probe is watched. Under load, a process takes some time to end.
const OBSERVATION_TIME: Duration = Duration::from_millis(60);

/// Time within which an upstream accepts a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Other upstreams that are probed to check the path to all of them.
const CONTROL_PROBES: usize = 2;

/// Time for which a finding holds for further connections that ended, in milliseconds.
const FINDING_LIFETIME_MS: u64 = 1_000;

/// Probes of upstreams, shared by the requests that lost their connections at the same time.
#[derive(Debug, Default)]
pub(crate) struct Probes(Mutex<BTreeMap<UpstreamKey, Probe>>);

#[derive(Clone, Debug)]
struct Probe {
    since: Time,
    finding: Arc<OnceCell<Finding>>,
    requests: Arc<Mutex<Vec<Interrupted>>>,
}

impl Probes {
    fn start(&self, key: UpstreamKey, now: Time) -> Probe {
        let mut probes = lock(&self.0);
        probes.retain(|_, probe| now.since(probe.since) < FINDING_LIFETIME_MS);
        let probe = probes.entry(key).or_insert_with(|| Probe {
            since: now,
            finding: Arc::default(),
            requests: Arc::default(),
        });
        probe.clone()
    }
}

/// Finds out in the background whether an upstream crashed, and records a crash for the request whose
/// connection ended. The handle ends when the request may be checked again.
pub(crate) fn investigate(request: &mut ActiveRequest, key: UpstreamKey) -> JoinHandle<()> {
    let state = Arc::clone(&request.state);
    let interrupted = Interrupted::from(&*request);
    // A trial ends after its crash is recorded.
    let trial = request.trial.take();
    tokio::spawn(async move {
        let _trial = trial;
        let Some((upstream, address)) = serving_upstream(&state, key) else {
            // A planned stop ends connections too.
            return;
        };
        let probe = state.probes.start(key, state.now());
        lock(&probe.requests).push(interrupted.clone());
        let finding = probe
            .finding
            .get_or_init(|| find_out(&state, key, &upstream, address, &probe))
            .await;
        if *finding == Finding::Crashed {
            suspect::record_crash(&state, &interrupted, &upstream).await;
        }
    })
}

/// Waits for the end of an investigation, before its request is sent again.
pub(crate) async fn wait_for(state: &State, investigation: JoinHandle<()>) {
    if let Err(error) = investigation.await {
        event!(
            state.log,
            Event::TaskFailed,
            "task" => "crash investigation",
            "error" => error.to_string()
        );
    }
}

/// Returns an upstream and its address if it should accept requests.
fn serving_upstream(state: &State, key: UpstreamKey) -> Option<(id::Upstream, SocketAddr)> {
    let now = state.now();
    let fleet = state.fleet();
    let entry = fleet.get(key).filter(|_| fleet.is_serving(key, now))?;
    Some((entry.upstream.incarnation(), entry.upstream.address))
}

async fn find_out(
    state: &Arc<State>,
    key: UpstreamKey,
    upstream: &id::Upstream,
    address: SocketAddr,
    probe: &Probe,
) -> Finding {
    tokio::time::sleep(PROBE_DELAY).await;
    let finding = if let Some(sender) = open_connection(state, address).await {
        let observed = Observed {
            key,
            upstream: upstream.clone(),
            address,
            requests: Arc::clone(&probe.requests),
        };
        tokio::spawn(observe(Arc::clone(state), observed, sender));
        Finding::Alive
    } else if reaches_another(state, key).await {
        Finding::Crashed
    } else {
        Finding::Unconfirmed
    };
    state.metrics.interruption(finding);
    if finding != Finding::Crashed && state.allows_log_line(Event::CrashNotConfirmed) {
        event!(
            state.log,
            Event::CrashNotConfirmed,
            "upstream" => upstream.to_string(),
            "finding" => finding.label()
        );
    }
    finding
}

/// An upstream that accepted a connection and may be about to end.
struct Observed {
    key: UpstreamKey,
    upstream: id::Upstream,
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Interrupted>>>,
}

/// Watches the connection that an upstream accepted. If it is closed soon and the upstream accepts no
/// other one, the upstream was about to end, and has crashed.
async fn observe(state: Arc<State>, observed: Observed, sender: Sender) {
    tokio::time::sleep(OBSERVATION_TIME).await;
    if !sender.is_closed() {
        let reuse = ConnectionReuse::Unspecified;
        state.pool.release(observed.key, sender, reuse, state.now());
        return;
    }
    if open_connection(&state, observed.address).await.is_some()
        || !reaches_another(&state, observed.key).await
    {
        return;
    }
    state.metrics.interruption(Finding::Crashed);
    let requests = std::mem::take(&mut *lock(&observed.requests));
    for request in &requests {
        suspect::record_crash(&state, request, &observed.upstream).await;
    }
}

/// Opens a connection to an upstream that keeps it. A proxy on the way accepts also if nobody listens
/// behind it.
async fn open_connection(state: &State, address: SocketAddr) -> Option<Sender> {
    let sender = connection::connect(address, PROBE_TIMEOUT_MS).await.ok()?;
    tokio::time::sleep(PROBE_DELAY).await;
    if sender.is_closed() {
        return None;
    }
    path::record_connected(state);
    Some(sender)
}

/// Returns whether another upstream accepts connections.
async fn reaches_another(state: &Arc<State>, key: UpstreamKey) -> bool {
    let now = state.now();
    let others = {
        let fleet = state.fleet();
        let others = fleet.iter();
        let others = others.filter(|(other, _)| *other != key && fleet.is_serving(*other, now));
        let others = others.map(|(other, entry)| (other, entry.upstream.address));
        others.choose_multiple(&mut rand::rng(), CONTROL_PROBES)
    };
    let probes = others.into_iter();
    let probes = probes.map(async |(other, address)| {
        let sender = open_connection(state, address).await?;
        let reuse = ConnectionReuse::Unspecified;
        state.pool.release(other, sender, reuse, state.now());
        Some(())
    });
    let answers = futures_util::future::join_all(probes).await;
    // Those that were probed may have crashed too.
    answers.iter().any(Option::is_some) || !path::check_since(state, now).await
}
