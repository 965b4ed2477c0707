//! What to do and with whom, as plain values.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use basilramp_wire::api::Budget;
use basilramp_wire::config::Kind;
use basilramp_wire::engine::Order;

/// Everything that one run is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Whom to talk to.
    pub connection: Connection,
    /// How results are written.
    pub output: OutputFormat,
    /// What to do.
    pub command: Command,
}

/// The instance to talk to, and who talks.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// An instance's listener for operators.
    pub operator_address: Option<SocketAddr>,
    /// An instance's listener for callers.
    pub caller_address: Option<SocketAddr>,
    /// The operator's token.
    pub operator_token: Option<Secret>,
    /// The caller's key.
    pub account_key: Option<Secret>,
    /// The longest wait for an answer, in milliseconds. Calls may take longer.
    pub timeout_ms: u64,
}

/// A token or key; its text does not show in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Makes a secret of its text, less the white space around it.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().to_owned())
    }

    /// Returns the text.
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// How results are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For a person.
    #[default]
    Table,
    /// For a program.
    Json,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Something with configured items of one kind.
    Item(Kind, ItemCommand),
    /// Replace the plans by those of a sheet.
    ImportPlans(ImportArgs),
    /// List the upstreams.
    ListUpstreams,
    /// Send an upstream an order.
    SendOrder {
        /// The upstream's id.
        upstream: String,
        /// The order.
        order: Order,
    },
    /// List the instances.
    ListInstances,
    /// Show every configured item.
    ShowConfig,
    /// Show the changes after a version.
    ConfigLog {
        /// The version.
        after: u64,
    },
    /// Show what differs between two versions.
    ConfigDiff {
        /// The older version.
        from: u64,
        /// The newer version; the version in force if left out.
        to: Option<u64>,
    },
    /// Show a program and its turns.
    ShowProgram {
        /// The program's id.
        id: String,
    },
    /// Run a call and stream its answer.
    RunCall(CallArgs),
    /// End a program.
    EndProgram {
        /// The program's id.
        id: String,
    },
    /// Settle a call in doubt.
    SettleCall(SettleArgs),
}

/// What to do with configured items of one kind.
#[derive(Clone, Debug)]
pub enum ItemCommand {
    /// List all.
    List,
    /// Show one.
    Show {
        /// Its name.
        name: String,
    },
    /// Set those of a file.
    Apply(ApplyArgs),
    /// Delete some.
    Delete(DeleteArgs),
    /// Show what `apply` would change.
    Diff {
        /// The file; `-` is standard input.
        file: PathBuf,
    },
    /// Show the changes of one.
    History {
        /// Its name.
        name: String,
    },
}

/// Sets the items of a file.
#[derive(Clone, Debug)]
pub struct ApplyArgs {
    /// A JSON object from name to value; `-` is standard input.
    pub file: PathBuf,
    /// How the change is made.
    pub options: ChangeOptions,
}

/// Deletes items.
#[derive(Clone, Debug)]
pub struct DeleteArgs {
    /// Their names.
    pub names: Vec<String>,
    /// How the change is made.
    pub options: ChangeOptions,
}

/// Replaces the plans by those of a sheet.
#[derive(Clone, Debug)]
pub struct ImportArgs {
    /// The sheet, as CSV; `-` is standard input.
    pub sheet: PathBuf,
    /// Whether plans that the sheet does not name are kept.
    pub keep_unlisted: bool,
    /// How the change is made.
    pub options: ChangeOptions,
}

/// How a change of configuration is made.
#[derive(Clone, Debug, Default)]
pub struct ChangeOptions {
    /// The version that it was made from; the one in force if left out.
    pub base: Option<u64>,
    /// Why; stands in the change log.
    pub reason: String,
    /// Whether to print the difference only.
    pub dry_run: bool,
}

/// Runs a call and streams its answer.
#[derive(Clone, Debug)]
pub struct CallArgs {
    /// The program; a new one if left out, which is ended afterwards.
    pub program: Option<String>,
    /// The call's place; the next one if left out.
    pub position: Option<u32>,
    /// The service called.
    pub service: String,
    /// The prompt or body; `-` is standard input.
    pub input: String,
    /// The most output tokens.
    pub max_tokens: u32,
    /// The budget of a new program.
    pub budget: Budget,
    /// Names the request, for a repeated try; made up if left out.
    pub request_id: Option<String>,
    /// Whether a new program is left running.
    pub keep_running: bool,
}

/// Settles a call in doubt.
#[derive(Clone, Debug)]
pub struct SettleArgs {
    /// The program.
    pub program: String,
    /// The call's place.
    pub position: u32,
    /// Whether the call took effect.
    pub executed: bool,
    /// The answer to record.
    pub response: String,
    /// Why.
    pub reason: String,
}
