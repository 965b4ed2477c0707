//! Settings of an ingress instance on the users' platform.

use std::net::SocketAddr;

use basilramp_core::dispatch::quota::Rule;
use basilramp_settings::{Faults, Level, Section, value};

/// Settings of an instance, read at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instance name in logs.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub ready: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for other instances. Without one, requests are not relayed between instances.
    pub peers: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory limit of the process, in MB.
    pub memory_mb: usize,
    /// Milliseconds from a stop signal until the platform kills the process.
    pub stop_ms: u64,
    /// What the requests of an account with a quota may number in any window of time.
    pub quota: Rule,
    /// Minimum level of logged events.
    pub level: Level,
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault with its line, column and path.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        basilramp_settings::parse(text, settings)
    }
}

fn settings(mut root: Section<'_>) -> Option<Settings> {
    let mut instance = root.section("instance");
    let id = instance.required("id", value::name);
    let failure_domain = instance.required("failure_domain", value::name);
    instance.finish();
    let mut ingress = root.section("ingress");
    let callers = ingress.required("callers", value::address);
    let ready = ingress.required("ready", value::address);
    let metrics = ingress.required("metrics", value::address);
    let peers = ingress.optional("peers", value::address);
    let store = ingress.required("store", value::remote_address);
    let memory_mb = ingress.required("memory_mb", value::count);
    let stop_ms = ingress.required("stop_s", value::seconds_as_ms);
    let mut rule = ingress.optional_section("quota");
    let defaults = Rule::default();
    let quota = Rule {
        window_ms: rule.optional_or("window_s", value::seconds_as_ms, defaults.window_ms),
        excess: rule.optional_or("excess", value::fraction, defaults.excess),
        tolerance: rule.optional_or("tolerance", value::whole_number, defaults.tolerance),
    };
    rule.finish();
    ingress.finish();
    let mut log = root.optional_section("log");
    let level = log.optional_or("level", value::level, Level::default());
    log.finish();
    root.finish();
    Some(Settings {
        instance: id?,
        failure_domain: failure_domain?,
        callers: callers?,
        ready: ready?,
        metrics: metrics?,
        peers,
        store: store?,
        memory_mb: memory_mb?,
        stop_ms: stop_ms?,
        quota,
        level,
    })
}
