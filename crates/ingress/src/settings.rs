//! The settings of an instance on the users' platform.

use std::net::SocketAddr;

use basilramp_settings::{Faults, Level, Section, value};

/// Everything that an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name in logs.
    pub instance: String,
    /// Where it runs.
    pub failure_domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where it shows its metrics.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Memory that the process may use, in MB.
    pub memory_mb: usize,
    /// Milliseconds from a stop signal to the forced end.
    pub stop_ms: u64,
    /// The least severe level that is logged.
    pub level: Level,
}

impl Settings {
    /// Reads settings from the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names every fault with its line, column and path.
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
    let store = ingress.required("store", value::remote_address);
    let memory_mb = ingress.required("memory_mb", value::count);
    let stop_ms = ingress.required("stop_s", value::seconds_as_ms);
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
        store: store?,
        memory_mb: memory_mb?,
        stop_ms: stop_ms?,
        level,
    })
}
