//! Parses and validates the sections of the settings file.

use std::collections::BTreeSet;

use basilramp_settings::{Faults, Section, value};

use super::{
    Instance, Limits, Listen, Log, Operator, Peers, Platform, Policy, Settings, Store, Timing,
    Traces,
};

/// Parses a settings file, and returns the faults of all its sections if there are any.
pub(super) fn parse(text: &str) -> Result<Settings, Faults> {
    basilramp_settings::parse(text, parse_settings)
}

fn parse_settings(mut root: Section<'_>) -> Option<Settings> {
    let instance = parse_instance(root.section("instance"));
    let listen = parse_listen(root.section("listen"));
    let platform = parse_platform(root.section("platform"));
    let peers = parse_peers(root.section("peers"));
    let operators = parse_operators(root.sections("operators"));
    let timing = parse_timing(root.optional_section("timing"));
    let store = parse_store(root.optional_section("store"));
    let limits = parse_limits(root.optional_section("limits"));
    let policy = parse_policy(root.optional_section("policy"));
    let log = parse_log(root.optional_section("log"));
    let traces = parse_traces(root.optional_section("traces"));
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

fn parse_instance(mut section: Section<'_>) -> Option<Instance> {
    let id = section.required("id", value::name);
    let failure_domain = section.required("failure_domain", value::name);
    section.finish();
    Some(Instance {
        id: id?,
        failure_domain: failure_domain?,
    })
}

fn parse_listen(mut section: Section<'_>) -> Option<Listen> {
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

fn parse_platform(mut section: Section<'_>) -> Option<Platform> {
    let table = section.required("table", value::remote_address);
    let table_name = section.optional_or("table_name", value::name, Platform::default_table_name());
    let list = section.required("list", value::remote_address);
    section.finish();
    Some(Platform {
        table: table?,
        table_name,
        list: list?,
    })
}

fn parse_peers(mut section: Section<'_>) -> Option<Peers> {
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

fn parse_operators(sections: Vec<Section<'_>>) -> Vec<Operator> {
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
        let is_duplicate = |digest: &String| !digests.insert(digest.clone());
        if digest.as_ref().is_some_and(is_duplicate) {
            section.record_fault("token_sha256", "is the token of another operator");
        }
        section.finish();
        if let (Some(name), Some(token_sha256)) = (name, digest) {
            operators.push(Operator { name, token_sha256 });
        }
    }
    operators
}

fn parse_timing(mut section: Section<'_>) -> Timing {
    let defaults = Timing::default();
    let mut duration = |name, default| section.optional_or(name, value::duration_ms, default);
    let timing = Timing {
        lease_ms: duration("lease_ms", defaults.lease_ms),
        lease_margin_ms: duration("lease_margin_ms", defaults.lease_margin_ms),
        heartbeat_ms: duration("heartbeat_ms", defaults.heartbeat_ms),
        config_poll_ms: duration("config_poll_ms", defaults.config_poll_ms),
        upstream_poll_ms: duration("upstream_poll_ms", defaults.upstream_poll_ms),
        stop_ms: duration("stop_ms", defaults.stop_ms),
        store_wait_ms: duration("store_wait_ms", defaults.store_wait_ms),
        grant_wait_ms: duration("grant_wait_ms", defaults.grant_wait_ms),
    };
    if timing.lease_ms <= 2 * timing.heartbeat_ms {
        section.record_fault("lease_ms", "has to be more than twice heartbeat_ms");
    }
    section.finish();
    timing
}

fn parse_store(mut section: Section<'_>) -> Store {
    let defaults = Store::default();
    let store = Store {
        writes_per_s: section.optional_or("writes_per_s", value::rate, defaults.writes_per_s),
    };
    section.finish();
    store
}

fn parse_limits(mut section: Section<'_>) -> Limits {
    let defaults = Limits::default();
    let mut count = |name, default| section.optional_or(name, value::count, default);
    let limits = Limits {
        body_bytes: count("body_bytes", defaults.body_bytes),
        requests: count("requests", defaults.requests),
        uncommitted_bytes: count("uncommitted_bytes", defaults.uncommitted_bytes),
    };
    section.finish();
    limits
}

fn parse_policy(mut section: Section<'_>) -> Policy {
    let defaults = Policy::default();
    let policy = Policy {
        cache_weight: section.optional_or("cache_weight", value::weight, defaults.cache_weight),
    };
    section.finish();
    policy
}

fn parse_log(mut section: Section<'_>) -> Log {
    let log = Log {
        level: section.optional_or("level", value::level, Log::default().level),
    };
    section.finish();
    log
}

fn parse_traces(mut section: Section<'_>) -> Traces {
    let defaults = Traces::default();
    let traces = Traces {
        otlp: section.optional("otlp", value::remote_address),
        sample_ratio: section.optional_or("sample_ratio", value::fraction, defaults.sample_ratio),
    };
    section.finish();
    traces
}
