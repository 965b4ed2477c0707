//! The instances of a deployment and their settings.

use std::net::SocketAddr;

use eyre::Result;
use serde_json::{Value, json};

use super::{Cluster, OPERATORS, Options, failure_domain, operator_token, sha256_hex};
use crate::launcher::{Addresses, Process};
use crate::relay::{self, Relay};

/// Maximum number of output lines printed for each instance of a failed test.
const MAX_PRINTED_LINES: usize = 500;

/// An instance of the deployment.
#[derive(Debug)]
pub struct Instance {
    /// Instance id.
    pub id: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Contents of the settings file.
    pub settings: Value,
    /// Relay from the instance to the platform's store, if enabled.
    pub store_relay: Option<Relay>,
    /// Relay to the QUIC address of the instance, if enabled.
    pub peer_relay: Option<Relay>,
    /// The running process; none after it was killed or stopped.
    pub process: Option<Process>,
    /// Output lines of earlier processes of this instance.
    pub previous_output: Vec<String>,
}

impl Instance {
    /// Returns its listen addresses, if it runs.
    #[must_use]
    pub fn addresses(&self) -> Option<Addresses> {
        self.process.as_ref().map(Process::addresses)
    }

    /// Drops the process, which kills it if it still runs, and keeps its output.
    pub(super) fn drop_process(&mut self) {
        if let Some(process) = self.process.take() {
            self.previous_output.extend(process.output());
        }
    }
}

/// Prints the end of the instance's output if its test has failed.
impl Drop for Instance {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let state = self.process.as_ref().map(Process::kernel_state);
        self.drop_process();
        let skipped = self.previous_output.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!("{}: {}", self.id, state.as_deref().unwrap_or("not running"));
        for line in &self.previous_output[skipped..] {
            eprintln!("{line}");
        }
    }
}

impl Cluster {
    /// Creates an instance with its keys, relays and settings. Does not start its process.
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
        // The relay's target is set to the bound address once the process has started.
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

/// Merges `changes` into `value`, recursively for objects.
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
