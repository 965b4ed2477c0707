//! A test deployment on loopback: fake platform and upstreams, and instances of the daemon as
//! separate processes.

mod deployment;
mod instance;
mod keys;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::config::Edit;
use eyre::{Result, eyre};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;

use crate::engine::{self, Engine};
use crate::launcher::Launcher;
use crate::platform::{self, Entry, Platform, Role, State};
use crate::relay::{self, Relay};
use crate::service::{self, Service};
use crate::{caller, operator};

pub use deployment::{
    MODEL, ORDER_PATH, REGISTER_PATH, STATUS_PATH, account_limit, default_services, model_service,
    name, place_config, plain_service, set_item, sha256_hex,
};
pub use instance::Instance;

use keys::CertificateAuthority;

/// Time limit until an instance is ready.
const READY_TIMEOUT_MS: u64 = 30_000;

/// Interval between two readiness checks of an instance.
const READY_POLL_MS: u64 = 25;

/// Accounts of every deployment; the key of an account is `key-` and its name.
pub const ACCOUNTS: [&str; 2] = ["trust", "atlas"];

/// Operators of every deployment; the token of an operator is `token-` and its name.
pub const OPERATORS: [&str; 2] = ["ada", "ben"];

/// Groups of the plain services `s0` and `s1`.
const GROUPS: [&str; 2] = ["registry", "store"];

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The command that starts an instance.
    pub launcher: Launcher,
    /// Number of instances; they are named `i0`, `i1` and so on.
    pub instances: usize,
    /// Options of the engines, named `e0`, `e1` and so on.
    pub engines: Vec<engine::Options>,
    /// Timeout of every service, in milliseconds.
    pub timeout_ms: u64,
    /// Configuration in addition to the default services, accounts and places.
    pub edits: Vec<Edit>,
    /// Settings that override the generated ones, as a JSON object.
    pub settings: Value,
    /// Whether connections to upstreams, store and peers pass through a [`Relay`], which tests
    /// use to inject network faults.
    pub relays: bool,
}

impl Options {
    /// Returns the options of a deployment with two engines.
    #[must_use]
    pub fn new(launcher: Launcher, instances: usize) -> Self {
        Self {
            launcher,
            instances,
            engines: vec![engine::Options::default(); 2],
            timeout_ms: 5_000,
            edits: Vec::new(),
            settings: json!({}),
            relays: false,
        }
    }
}

/// A running deployment. Dropping it stops all its servers and processes.
#[derive(Debug)]
pub struct Cluster {
    /// The instances of the daemon.
    pub instances: Vec<Instance>,
    /// The fake platform.
    pub platform: Arc<Platform>,
    /// The fake engines.
    pub engines: Vec<Arc<Engine>>,
    /// Plain service `s0`, with status look-ups.
    pub registry: Arc<Service>,
    /// Plain service `s1`, without status look-ups.
    pub store: Arc<Service>,
    /// Relays to the engines, then to the services; empty without [`Options::relays`].
    pub upstream_relays: Vec<Relay>,
    launcher: Launcher,
    authority: CertificateAuthority,
    directory: TempDir,
}

/// Returns the failure domain of the upstream or instance with the given index.
fn failure_domain(index: usize) -> String {
    ["a", "b", "c"][index % 3].to_owned()
}

impl Cluster {
    /// Starts a deployment and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if an instance does not start or does not become ready; the error contains its output.
    pub async fn start(options: Options) -> Result<Self> {
        let mut cluster = Self::start_services(&options)?;
        for index in 0..options.instances {
            let instance = cluster.add_instance(index, &options)?;
            cluster.instances.push(instance);
            cluster.start_process(index).await?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts the platform and the upstreams, and writes the initial configuration.
    fn start_services(options: &Options) -> Result<Self> {
        let directory = tempfile::tempdir()?;
        let authority = CertificateAuthority::create(directory.path())?;
        let registry = service::spawn(service::Options {
            status_path: Some(STATUS_PATH.to_owned()),
            ..service::Options::default()
        });
        let engines = options.engines.iter().cloned();
        let mut cluster = Self {
            instances: Vec::new(),
            platform: Arc::new(platform::spawn()),
            engines: engines.map(engine::spawn).map(Arc::new).collect(),
            registry: Arc::new(registry),
            store: Arc::new(service::spawn(service::Options::default())),
            upstream_relays: Vec::new(),
            launcher: options.launcher.clone(),
            authority,
            directory,
        };
        cluster.register_upstreams(options.relays);
        deployment::write_initial_config(&cluster.platform, initial_edits(options));
        Ok(cluster)
    }

    fn register_upstreams(&mut self, relays: bool) {
        for index in 0..self.engines.len() {
            let address = self.engines[index].address();
            let address = self.upstream_address(address, relays);
            self.register_upstream(&format!("e{index}"), Role::Engine, address, index, "");
        }
        let services = [self.registry.address(), self.store.address()];
        for (index, (address, group)) in services.into_iter().zip(GROUPS).enumerate() {
            let address = self.upstream_address(address, relays);
            self.register_upstream(&format!("s{index}"), Role::Service, address, index, group);
        }
    }

    /// Returns the address under which an upstream is listed: its own, or that of a new relay.
    fn upstream_address(&mut self, address: SocketAddr, relays: bool) -> SocketAddr {
        if !relays {
            return address;
        }
        let relay = relay::spawn(address);
        let address = relay.address();
        self.upstream_relays.push(relay);
        address
    }

    fn register_upstream(
        &self,
        name: &str,
        role: Role,
        address: SocketAddr,
        index: usize,
        group: &str,
    ) {
        self.platform.put_endpoint(Entry {
            name: name.to_owned(),
            role,
            address,
            failure_domain: failure_domain(index),
            place: format!("place-{}", failure_domain(index)),
            group: group.to_owned(),
            state: State::Ready,
        });
    }

    /// Starts or restarts the process of an instance and lists its peer address.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not listen in time; the error contains its output.
    pub async fn start_process(&mut self, index: usize) -> Result<()> {
        let path = self.settings_path(index);
        let instance = &mut self.instances[index];
        std::fs::write(&path, serde_json::to_vec_pretty(&instance.settings)?)?;
        instance.drop_process();
        let process = self.launcher.start(&path).await?;
        if let Some(relay) = &instance.peer_relay {
            relay.set_target(process.addresses().peers);
        }
        self.platform.put_endpoint(Entry {
            name: instance.id.clone(),
            role: Role::Instance,
            address: process.addresses().peers,
            failure_domain: instance.failure_domain.clone(),
            place: String::new(),
            group: String::new(),
            state: State::Ready,
        });
        instance.process = Some(process);
        Ok(())
    }

    /// Returns the path of an instance's settings file.
    #[must_use]
    pub fn settings_path(&self, index: usize) -> PathBuf {
        let name = format!("{}.json", self.instances[index].id);
        self.directory.path().join(name)
    }

    /// Waits until every running instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if an instance is not ready in time; the error contains its output.
    pub async fn wait_until_ready(&self) -> Result<()> {
        for index in 0..self.instances.len() {
            if self.instances[index].process.is_some() {
                self.wait_for_instance(index).await?;
            }
        }
        Ok(())
    }

    /// Waits until an instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if it does not run or is not ready in time; the error contains its output.
    pub async fn wait_for_instance(&self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        let process = instance.process.as_ref();
        let process = process.ok_or_else(|| eyre!("{} is not running", instance.id))?;
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        let client = self.operator(0);
        while !client.is_ready(process.addresses().operators).await {
            if Instant::now() >= deadline {
                let output = process.output().join("\n");
                let state = process.kernel_state();
                return Err(eyre!("{} is not ready ({state}): {output}", instance.id));
            }
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        Ok(())
    }

    /// Returns the address of an instance's caller API, if it runs.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> Option<SocketAddr> {
        Some(self.instances[index].addresses()?.callers)
    }

    /// Returns the address of an instance's operator API, if it runs.
    #[must_use]
    pub fn operator_address(&self, index: usize) -> Option<SocketAddr> {
        Some(self.instances[index].addresses()?.operators)
    }

    /// Returns a client of the account with this index in [`ACCOUNTS`].
    #[must_use]
    pub fn caller(&self, account: usize) -> caller::Client {
        caller::Client::new(account_key(ACCOUNTS[account]))
    }

    /// Returns a client of the operator with this index in [`OPERATORS`].
    #[must_use]
    pub fn operator(&self, operator: usize) -> operator::Client {
        operator::Client::new(operator_token(OPERATORS[operator]))
    }

    /// Kills the process of an instance with `SIGKILL`, if it runs.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot kill the process.
    pub fn kill(&mut self, index: usize) -> Result<()> {
        let instance = &mut self.instances[index];
        if let Some(mut process) = instance.process.take() {
            process.kill()?;
            instance.previous_output.extend(process.output());
        }
        Ok(())
    }
}

/// Returns the key of an account.
#[must_use]
pub fn account_key(account: &str) -> String {
    format!("key-{account}")
}

/// Returns the token of an operator.
#[must_use]
pub fn operator_token(operator: &str) -> String {
    format!("token-{operator}")
}

/// Returns the edits of the initial configuration.
fn initial_edits(options: &Options) -> Vec<Edit> {
    let mut edits = default_services(options.timeout_ms);
    let fencing = options
        .engines
        .first()
        .is_some_and(|engine| engine.checks_fencing);
    for index in 0..3 {
        let domain = failure_domain(index);
        edits.push(set_item(
            &format!("place-{domain}"),
            place_config(&domain, fencing),
        ));
    }
    for account in ACCOUNTS {
        edits.push(set_item(
            account,
            account_limit(&account_key(account), 100_000, 100_000),
        ));
    }
    edits.extend(options.edits.iter().cloned());
    edits
}
