//! Requests that crash the upstreams which begin to run them, sent again and again at any instance.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::sleep;

use crate::support::{Instance, Reply, Turn, configure, plain_request, send_from};

/// Upstreams that a request may crash before every instance has to reject it.
const MAX_CRASHES: usize = 3;

/// Time after the last of these crashes within which all instances have to know of them.
const STABLE: Duration = Duration::from_secs(3);

/// Attempts that may reach upstreams after that.
const MAX_LATER_ATTEMPTS: usize = 3;

/// Time after which a crashed upstream is started again.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Interval at which a crashing request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Address of the caller whose requests crash upstreams.
const FAULTY_CALLER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// An upstream that takes long enough that a crash meets other requests there.
const SLOW_RESPONSE: Behaviour = Behaviour::Respond {
    events: 3,
    interval_ms: 60,
};

/// Upstreams that are started again after a crash.
struct Site {
    store: Store,
    upstreams: Vec<Upstream>,
    instances: Vec<Instance>,
}

impl Site {
    async fn spawn(service: &str, upstreams: usize, instances: usize) -> Self {
        let store = Store::spawn();
        configure(&store, 3);
        let upstreams = (0..upstreams)
            .map(|index| Upstream::spawn(&store, &format!("i-{index}"), service, SLOW_RESPONSE));
        let upstreams = upstreams.collect();
        let mut running = Vec::new();
        for index in 0..instances {
            running.push(Instance::spawn(&store, &format!("n{index}")).await);
        }
        Self {
            store,
            upstreams,
            instances: running,
        }
    }

    /// Starts crashed upstreams again, until `until`.
    async fn keep_running(&self, until: Instant) {
        let mut restarts = 0;
        while Instant::now() < until {
            for upstream in &self.upstreams {
                let crashed_at = upstream.crashes().last().map(|crash| crash.at);
                if !upstream.is_running()
                    && crashed_at.is_none_or(|at| at.elapsed() > RESTART_DELAY)
                {
                    restarts += 1;
                    upstream.restart(&self.store, &format!("r-{restarts}"));
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to the instances in turn, until `until`. Returns the last reply.
    async fn resend(
        &self,
        name: &str,
        until: Instant,
        request: impl Fn(&str) -> Request<Full<Bytes>>,
    ) -> Option<Reply> {
        let mut last = None;
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let instance = &self.instances[number % self.instances.len()];
            let request = request(&format!("{name}-{number}"));
            last = send_from(FAULTY_CALLER, instance.callers, request).await;
            sleep(RESEND_INTERVAL).await;
        }
        last
    }

    /// Returns the number of attempts with a body that reached upstreams later than [`STABLE`] after
    /// the request had crashed [`MAX_CRASHES`] of them, and the number of its crashes.
    fn later_crashes(&self, body: &str) -> (usize, usize) {
        let crashes = self.upstreams.iter().flat_map(Upstream::crashes);
        let mut times: Vec<_> = crashes
            .filter(|crash| crash.body == body)
            .map(|crash| crash.at)
            .collect();
        times.sort();
        let Some(third) = times.get(MAX_CRASHES - 1) else {
            return (0, times.len());
        };
        let later = times.iter().filter(|at| **at > *third + STABLE);
        (later.count(), times.len())
    }
}

fn turn(route: &str, attempt: &str, input: &str) -> Request<Full<Bytes>> {
    Turn {
        input,
        ..Turn::first(route, attempt)
    }
    .request()
}

fn plain(route: &str, attempt: &str, body: &str) -> Request<Full<Bytes>> {
    plain_request(route, attempt).map(|_| Full::from(body.to_owned()))
}

/// The request comes again with other attempt ids, at all instances, of which none sees three
/// crashes at first.
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_stopped_at_all_instances() {
    for (service, route) in [("engine", "advice"), ("engine", "chat"), ("app", "read")] {
        let site = Site::spawn(service, 8, 4).await;
        let until = Instant::now() + Duration::from_secs(7);
        let body = "CRASH now";
        let request = |attempt: &str| {
            if service == "engine" {
                turn(route, attempt, body)
            } else {
                plain(route, attempt, body)
            }
        };
        let (last, ()) = tokio::join!(
            site.resend("t", until, request),
            site.keep_running(until + RESTART_DELAY * 2)
        );
        let (later, crashes) = site.later_crashes(body);
        assert!(
            later <= MAX_LATER_ATTEMPTS,
            "{route}: {later} of {crashes} crashes came later"
        );
        assert!(crashes >= MAX_CRASHES, "{route}: only {crashes} crashes");
        let last = last.expect("the request is rejected");
        assert_eq!(last.status, StatusCode::BAD_GATEWAY, "{route}");
    }
}
