//! Finds out whether an upstream crashed when its connection ended under a request.
//!
//! Cuts, resets, answers that are lost and planned stops end connections too. An upstream has
//! crashed if it accepts no connection while another upstream does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_adapter::connection;
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
use crate::{path, suspect};

/// Delay before an upstream is probed, as a process that ends may close its connections before its
/// listener; and before an accepted probe counts.
const PROBE_DELAY: Duration = Duration::from_millis(10);

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
}

impl Probes {
    fn start(&self, key: UpstreamKey, now: Time) -> Probe {
        let mut probes = lock(&self.0);
        probes.retain(|_, probe| now.since(probe.since) < FINDING_LIFETIME_MS);
        let probe = probes.entry(key).or_insert_with(|| Probe {
            since: now,
            finding: Arc::default(),
        });
        probe.clone()
    }
}

/// Finds out in the background whether an upstream crashed, and records a crash for the request whose
/// connection ended. The handle ends when the request may be checked again.
pub(crate) fn investigate(request: &mut ActiveRequest, key: UpstreamKey) -> JoinHandle<()> {
    let state = Arc::clone(&request.state);
    let fingerprint = request.fingerprint();
    let attempt_id = Arc::clone(&request.attempt_id);
    // A trial ends after its crash is recorded.
    let trial = request.trial.take();
    tokio::spawn(async move {
        let _trial = trial;
        let Some((upstream, address)) = serving_upstream(&state, key) else {
            // A planned stop ends connections too.
            return;
        };
        let probe = state.probes.start(key, state.now());
        let finding = probe
            .finding
            .get_or_init(|| find_out(&state, key, &upstream, address))
            .await;
        if *finding == Finding::Crashed {
            suspect::record_crash(&state, &attempt_id, fingerprint, &upstream).await;
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
) -> Finding {
    tokio::time::sleep(PROBE_DELAY).await;
    let finding = if is_accepted(state, key, address).await {
        Finding::Alive
    } else if reaches_another(state, key).await {
        Finding::Crashed
    } else {
        path::check(state).await;
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

/// Returns whether an upstream accepts a connection and keeps it. A proxy on the way accepts also if
/// nobody listens behind it.
async fn is_accepted(state: &State, key: UpstreamKey, address: SocketAddr) -> bool {
    let Ok(sender) = connection::connect(address, PROBE_TIMEOUT_MS).await else {
        return false;
    };
    tokio::time::sleep(PROBE_DELAY).await;
    if sender.is_closed() {
        return false;
    }
    path::record_connected(state);
    let reuse = ConnectionReuse::Unspecified;
    state.pool.release(key, sender, reuse, state.now());
    true
}

/// Returns whether another upstream accepts connections.
async fn reaches_another(state: &State, key: UpstreamKey) -> bool {
    let now = state.now();
    let others = {
        let fleet = state.fleet();
        let others = fleet.iter();
        let others = others.filter(|(other, _)| *other != key && fleet.is_serving(*other, now));
        let others = others.map(|(other, entry)| (other, entry.upstream.address));
        others.choose_multiple(&mut rand::rng(), CONTROL_PROBES)
    };
    let probes = others.into_iter();
    let probes = probes.map(|(other, address)| is_accepted(state, other, address));
    let answers = futures_util::future::join_all(probes).await;
    answers.contains(&true)
}
