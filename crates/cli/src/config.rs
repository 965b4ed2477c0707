//! Parsed configuration of one run: connection, output format and command.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use basilramp_wire::api::Budget;
use basilramp_wire::config::ItemKind;
use basilramp_wire::engine::Order;

/// Configuration of one run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses, credentials and request timeout.
    pub connection: Connection,
    /// Format of the results.
    pub output: OutputFormat,
    /// The command to run.
    pub command: Command,
}

/// Addresses of an instance, credentials and the request timeout.
///
/// A command fails with [`Error::Usage`](crate::Error::Usage) if the address or the credential
/// that it needs is `None`.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// Address of an instance's operator listener.
    pub operator_address: Option<SocketAddr>,
    /// Address of an instance's caller listener.
    pub caller_address: Option<SocketAddr>,
    /// Bearer token for the operator listener.
    pub operator_token: Option<Secret>,
    /// Bearer key of a client account, for the caller listener.
    pub account_key: Option<Secret>,
    /// Request timeout in milliseconds. It does not apply to a streamed call.
    pub timeout_ms: u64,
}

/// A token or key that is redacted in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from `text` without leading and trailing whitespace.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().to_owned())
    }

    /// Returns the secret in plain text.
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Format of the results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns for a person to read.
    #[default]
    Table,
    /// JSON for scripts.
    Json,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run a command on configured items of one kind.
    Item(ItemKind, ItemCommand),
    /// Replace the plans with those of a sheet.
    ImportPlans(ImportArgs),
    /// List the upstreams.
    ListUpstreams,
    /// Send an order to an upstream.
    SendOrder {
        /// Upstream id.
        upstream: String,
        /// The model to load or unload.
        order: Order,
    },
    /// List the instances.
    ListInstances,
    /// Show every configured item.
    ShowConfig,
    /// Show the configuration changes after a version.
    ConfigLog {
        /// Only changes with a greater version are shown.
        after: u64,
    },
    /// Show the differences between two configuration versions.
    ConfigDiff {
        /// The older version.
        from: u64,
        /// The newer version; the newest one if `None`.
        to: Option<u64>,
    },
    /// Check a configuration document of the users' platform.
    CheckConfig(CheckArgs),
    /// Show a program and its turns.
    ShowProgram {
        /// Program id.
        id: String,
    },
    /// Run a call and stream its response.
    RunCall(CallArgs),
    /// End a program.
    EndProgram {
        /// Program id.
        id: String,
    },
    /// Settle a call in doubt.
    SettleCall(SettleArgs),
}

/// A command on configured items of one kind.
#[derive(Clone, Debug)]
pub enum ItemCommand {
    /// List all items.
    List,
    /// Show one item.
    Show {
        /// Item name.
        name: String,
    },
    /// Create or replace the items of a file.
    Apply(ApplyArgs),
    /// Delete items.
    Delete(DeleteArgs),
    /// Show what `apply` would change.
    Diff {
        /// The file to compare with the current configuration; `-` is standard input.
        file: PathBuf,
    },
    /// Show the changes of one item.
    History {
        /// Item name.
        name: String,
    },
}

/// Arguments of `config check`.
#[derive(Clone, Debug)]
pub struct CheckArgs {
    /// The document; `-` is standard input.
    pub file: PathBuf,
    /// The document to compare it with.
    pub against: Option<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Clone, Debug)]
pub struct ApplyArgs {
    /// File with a JSON object that maps item names to values; `-` is standard input.
    pub file: PathBuf,
    /// Base version, reason and dry run.
    pub options: ChangeOptions,
}

/// Arguments of `delete`.
#[derive(Clone, Debug)]
pub struct DeleteArgs {
    /// Names of the items to delete.
    pub names: Vec<String>,
    /// Base version, reason and dry run.
    pub options: ChangeOptions,
}

/// Arguments of `plan import`.
#[derive(Clone, Debug)]
pub struct ImportArgs {
    /// The sheet as CSV; `-` is standard input.
    pub sheet: PathBuf,
    /// Whether to keep the plans that the sheet does not list.
    pub keep_unlisted: bool,
    /// Base version, reason and dry run.
    pub options: ChangeOptions,
}

/// Options that all commands with a configuration change share.
#[derive(Clone, Debug, Default)]
pub struct ChangeOptions {
    /// Version that the change is based on; the current one if `None`.
    pub base: Option<u64>,
    /// Reason recorded in the change log.
    pub reason: String,
    /// Whether to print the differences without sending the change.
    pub dry_run: bool,
}

/// Arguments of `program run`.
#[derive(Clone, Debug)]
pub struct CallArgs {
    /// Program id. If `None`, a program is created for the call.
    pub program: Option<String>,
    /// Position of the call in the program; the next one if `None`.
    pub position: Option<u32>,
    /// Name of the service to call.
    pub service: String,
    /// The prompt or body; `-` is standard input.
    pub input: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Budget of a program created for the call.
    pub budget: Budget,
    /// Request id that makes a retry idempotent; generated if `None`.
    pub request_id: Option<String>,
    /// Whether to leave a program created for the call running. By default it is ended.
    pub keep_running: bool,
}

/// Arguments of `program settle`.
#[derive(Clone, Debug)]
pub struct SettleArgs {
    /// Program id.
    pub program: String,
    /// Position of the call in the program.
    pub position: u32,
    /// Whether the call took effect.
    pub executed: bool,
    /// Response to record.
    pub response: String,
    /// Reason recorded with the turn.
    pub reason: String,
}
