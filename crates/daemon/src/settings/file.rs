//! Reads each section of the settings file.

use std::collections::BTreeSet;

use basilramp_settings::{Faults, Section, value};

use super::{
    Instance, Limits, Listen, Log, Operator, Peers, Platform, Policy, Settings, Store, Timing,
    Traces,
};

/// Reads a settings file whole.
pub(super) fn read(text: &str) -> Result<Settings, Faults> {
    basilramp_settings::parse(text, settings)
}

fn settings(mut root: Section<'_>) -> Option<Settings> {
    let instance = instance(root.section("instance"));
    let listen = listen(root.section("listen"));
    let platform = platform(root.section("platform"));
    let peers = peers(root.section("peers"));
    let operators = operators(root.sections("operators"));
    let timing = timing(root.optional_section("timing"));
    let store = store(root.optional_section("store"));
    let limits = limits(root.optional_section("limits"));
    let policy = policy(root.optional_section("policy"));
    let log = log(root.optional_section("log"));
    let traces = traces(root.optional_section("traces"));
    root.finish();
    Some(Settings {
        instance: instance?,
        listen: listen?,
        platform: platform?,
        peers: peers?,
        operators,
        timing,
        store,
        limits,
        policy,
        log,
        traces,
    })
}

fn instance(mut section: Section<'_>) -> Option<Instance> {
    let id = section.required("id", value::name);
    let failure_domain = section.required("failure_domain", value::name);
    section.finish();
    Some(Instance {
        id: id?,
        failure_domain: failure_domain?,
    })
}

fn listen(mut section: Section<'_>) -> Option<Listen> {
    let callers = section.required("callers", value::address);
    let operators = section.required("operators", value::address);
    let peers = section.required("peers", value::address);
    let peers_advertised = section.optional("peers_advertised", value::remote_address);
    let unspecified = peers.is_some_and(|address| address.ip().is_unspecified());
    if unspecified && peers_advertised.is_none() {
        let message = "has to be the IP number at which other instances reach this one";
        section.record_fault("peers", message);
    }
    if callers.is_some_and(|address| address.port() != 0 && Some(address) == operators) {
        section.record_fault("operators", "is the same address as callers");
    }
    section.finish();
    Some(Listen {
        callers: callers?,
        operators: operators?,
        peers: peers?,
        peers_advertised,
    })
}

fn platform(mut section: Section<'_>) -> Option<Platform> {
    let table = section.required("table", value::remote_address);
    let table_name = section.optional_or("table_name", value::name, Platform::default_name());
    let list = section.required("list", value::remote_address);
    section.finish();
    Some(Platform {
        table: table?,
        table_name,
        list: list?,
    })
}

fn peers(mut section: Section<'_>) -> Option<Peers> {
    let certificate = section.required("certificate", value::file_path);
    let key = section.required("key", value::file_path);
    let authority = section.required("authority", value::file_path);
    section.finish();
    Some(Peers {
        certificate: certificate?,
        key: key?,
        authority: authority?,
    })
}

fn operators(sections: Vec<Section<'_>>) -> Vec<Operator> {
    let mut names = BTreeSet::new();
    let mut digests = BTreeSet::new();
    let mut operators = Vec::new();
    for mut section in sections {
        let name = section.required("name", value::name);
        let digest = section.required("token_sha256", value::digest);
        if name
            .as_ref()
            .is_some_and(|name| !names.insert(name.clone()))
        {
            section.record_fault("name", "is the name of another operator");
        }
        let is_known = |digest: &String| !digests.insert(digest.clone());
        if digest.as_ref().is_some_and(is_known) {
            section.record_fault("token_sha256", "is the token of another operator");
        }
        section.finish();
        if let (Some(name), Some(token_sha256)) = (name, digest) {
            operators.push(Operator { name, token_sha256 });
        }
    }
    operators
}

fn timing(mut section: Section<'_>) -> Timing {
    let or = Timing::default();
    let mut span = |name, default| section.optional_or(name, value::duration_ms, default);
    let timing = Timing {
        lease_ms: span("lease_ms", or.lease_ms),
        lease_margin_ms: span("lease_margin_ms", or.lease_margin_ms),
        heartbeat_ms: span("heartbeat_ms", or.heartbeat_ms),
        config_poll_ms: span("config_poll_ms", or.config_poll_ms),
        upstream_poll_ms: span("upstream_poll_ms", or.upstream_poll_ms),
        stop_ms: span("stop_ms", or.stop_ms),
        store_wait_ms: span("store_wait_ms", or.store_wait_ms),
        grant_wait_ms: span("grant_wait_ms", or.grant_wait_ms),
    };
    if timing.lease_ms <= 2 * timing.heartbeat_ms {
        section.record_fault("lease_ms", "has to be more than twice heartbeat_ms");
    }
    section.finish();
    timing
}

fn store(mut section: Section<'_>) -> Store {
    let or = Store::default();
    let store = Store {
        writes_per_s: section.optional_or("writes_per_s", value::rate, or.writes_per_s),
    };
    section.finish();
    store
}

fn limits(mut section: Section<'_>) -> Limits {
    let or = Limits::default();
    let mut count = |name, default| section.optional_or(name, value::count, default);
    let limits = Limits {
        body_bytes: count("body_bytes", or.body_bytes),
        requests: count("requests", or.requests),
        uncommitted_bytes: count("uncommitted_bytes", or.uncommitted_bytes),
    };
    section.finish();
    limits
}

fn policy(mut section: Section<'_>) -> Policy {
    let or = Policy::default();
    let policy = Policy {
        cache_weight: section.optional_or("cache_weight", value::weight, or.cache_weight),
    };
    section.finish();
    policy
}

fn log(mut section: Section<'_>) -> Log {
    let log = Log {
        level: section.optional_or("level", value::level, Log::default().level),
    };
    section.finish();
    log
}

fn traces(mut section: Section<'_>) -> Traces {
    let or = Traces::default();
    let traces = Traces {
        otlp: section.optional("otlp", value::remote_address),
        sample_ratio: section.optional_or("sample_ratio", value::fraction, or.sample_ratio),
    };
    section.finish();
    traces
}
