//! Serves callers on the users' platform. Any instance serves any request: what has to last
//! lies in the platform's store, and each instance decides for itself.
//!
//! | module | does |
//! |---|---|
//! | [`settings`] | the settings of an instance |
//! | `run` | starts the parts and stops them |
//! | `server` | listeners and connections of callers |
//! | `serve` | one request, from its head to its answer |
//! | `job` | a request under way |
//! | `exchange` | one attempt at an upstream |
//! | `stream` | answers that are event streams |
//! | `history`, `budget` | what the store keeps of programs |
//! | `feed` | configuration and upstreams, as the store tells of them |
//! | `pool` | connections to upstreams |
//! | `metric` | counters and latencies |
//!
//! Lock order: the pool before the fleet; no other lock is held while one is reserved, and none
//! across an await point.

mod active_request;
mod attempt;
mod budget;
mod feed;
mod handler;
mod log_event;
mod metric;
mod pool;
mod run;
mod server;
mod settings;
mod state;
mod stream;
mod turn_store;

pub use log_event::Event;
pub use run::run;
pub use settings::Settings;
