//! Ingress service for callers on the users' platform. Any instance serves any request: durable
//! state is in the platform's store, and each instance decides independently.
//!
//! | module | purpose |
//! |---|---|
//! | `settings` | settings of an instance |
//! | `run` | startup and shutdown |
//! | `server` | listeners and caller connections |
//! | `handler` | handles one request from its headers to its response |
//! | `source` | who sent a request, and what a relaying instance says of it |
//! | `prepare` | loads what a turn needs before it is placed |
//! | `client` | finds the client account of a request |
//! | `active_request` | a request in progress |
//! | `buffer` | limits the memory for buffered bytes |
//! | `attempt` | one attempt at an upstream |
//! | `exchange` | sends one request to an upstream |
//! | `crash` | finds out whether an upstream crashed under a request |
//! | `suspect` | requests that may crash upstreams, shared by all instances |
//! | `leaving` | upstreams that say in their answers that they leave |
//! | `quota` | quotas of accounts, shared by all instances |
//! | `rate_limit` | rate limits of upstreams, shared by all instances |
//! | `stream` | relays event streams |
//! | `stream_log` | events of retained turns in the store, until the turns end |
//! | `stream_version` | versions of streams in the store |
//! | `version_history` | which versions the services had, in the store |
//! | `turn_store`, `budget` | turns and token budgets in the store |
//! | `feed` | follows configuration and upstream entries in the store |
//! | `path` | checks the path to the upstreams |
//! | `relay` | relays requests to other instances while the path is lost |
//! | `config_copy` | gets a newer configuration from another instance |
//! | `peer_connection` | connections to other instances |
//! | `peer_server`, `peer_tls` | accepts relayed requests over mutual TLS |
//! | `membership` | rows by which the instances find each other |
//! | `pool` | connection pool for upstreams |
//! | `state` | state shared by all requests |
//! | `metric` | counters and latencies |
//! | `operator` | HTTP interface for operators |
//! | `log_event` | log events |
//!
//! Lock order: the pool before the fleet, an account's permits before the program shapes. No other lock is held while acquiring a lock, and none
//! across an await point.

mod active_request;
mod attempt;
mod budget;
mod buffer;
mod client;
mod config_copy;
mod crash;
mod exchange;
mod feed;
mod handler;
mod leaving;
mod log_event;
mod membership;
mod metric;
mod operator;
mod path;
mod peer_connection;
mod peer_server;
mod peer_tls;
mod pool;
mod prepare;
mod quota;
mod rate_limit;
mod relay;
mod run;
mod server;
mod settings;
mod source;
mod state;
mod stream;
mod stream_log;
mod stream_version;
mod suspect;
mod turn_store;
mod version_history;

pub use log_event::Event;
pub use run::run;
pub use settings::Settings;
