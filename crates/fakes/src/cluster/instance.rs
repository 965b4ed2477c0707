//! The instances of a deployment and their settings.

use std::net::SocketAddr;

use eyre::Result;
use serde_json::{Value, json};

use super::{Cluster, OPERATORS, Options, failure_domain, operator_token, sha256_hex};
use crate::launcher::{Addresses, Process};
use crate::relay::{self, Relay};

/// An instance of the deployment.
#[derive(Debug)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its settings.
    pub settings: Value,
    /// A relay between it and the platform's store, if there is one.
    pub store_relay: Option<Relay>,
    /// A relay before its QUIC address, if there is one.
    pub peer_relay: Option<Relay>,
    /// Its process, unless it was killed or has stopped.
    pub process: Option<Process>,
    /// What its earlier processes printed.
    pub previous_output: Vec<String>,
}

impl Instance {
    /// Returns where it listens, if it runs.
    #[must_use]
    pub fn addresses(&self) -> Option<Addresses> {
        self.process.as_ref().map(Process::addresses)
    }
}

impl Cluster {
    /// Makes an instance with its keys, relays and settings; its process is not started.
    pub(super) fn add_instance(&self, index: usize, options: &Options) -> Result<Instance> {
        let id = format!("i{index}");
        let files = self.authority.issue(&id)?;
        let store = self.platform.table_address();
        let store_relay = options.relays.then(|| relay::spawn(store));
        let store = store_relay.as_ref().map_or(store, Relay::address);
        let operators: Vec<Value> = OPERATORS
            .iter()
            .map(|name| json!({"name": name, "token_sha256": sha256_hex(&operator_token(name))}))
            .collect();
        let mut settings = json!({
            "instance": {"id": id, "failure_domain": failure_domain(index)},
            "listen": {
                "callers": "127.0.0.1:0",
                "operators": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
            },
            "platform": {
                "table": store,
                "list": self.platform.list_address(),
            },
            "peers": {
                "certificate": files.certificate,
                "key": files.key,
                "authority": files.authority,
            },
            "operators": operators,
        });
        // Its process leads the relay to the address that it binds.
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 9));
        let peer_relay = options.relays.then(|| relay::spawn_udp(placeholder));
        if let Some(relay) = &peer_relay {
            settings["listen"]["peers_advertised"] = json!(relay.address());
        }
        merge_settings(&mut settings, &options.settings);
        Ok(Instance {
            id,
            failure_domain: failure_domain(index),
            settings,
            store_relay,
            peer_relay,
            process: None,
            previous_output: Vec::new(),
        })
    }
}

/// Sets the fields of `changes` in `value`, objects within objects.
fn merge_settings(value: &mut Value, changes: &Value) {
    match (value, changes) {
        (Value::Object(fields), Value::Object(changes)) => {
            for (name, change) in changes {
                merge_settings(fields.entry(name.clone()).or_insert(Value::Null), change);
            }
        }
        (value, changes) => *value = changes.clone(),
    }
}
