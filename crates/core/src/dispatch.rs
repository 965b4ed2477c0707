//! Dispatch of callers' requests: routing, placement, retries, token budgets and transcripts.
//!
//! | module | purpose |
//! |---|---|
//! | [`account`] | client accounts, their keys and quotas |
//! | [`config`] | routes, services and limits set by the operator |
//! | [`config_check`] | finds mistakes in a configuration and compares two versions |
//! | [`config_view`] | tells how certain it is that a configuration is the newest one |
//! | [`request`] | parsed request headers and the rejections sent by this system |
//! | [`route`] | selects the route and service of a request |
//! | [`fleet`] | tracks the upstreams and their state |
//! | [`outlier`] | ejects upstreams that fail more often than their service |
//! | [`rate_limit`] | tracks the rates that overloaded upstreams accept |
//! | [`relay`] | selects another instance while the path to the upstreams is lost |
//! | [`software_version`] | tracks the versions of a service, between which streams can't move |
//! | [`speed`] | measures the speed of a service's upstreams |
//! | [`path`] | tells whether the path to all upstreams is lost |
//! | [`placement`] | selects the upstream of an attempt |
//! | [`attempt`] | decides whether to retry a failed attempt |
//! | [`token_budget`] | grants tokens from a program's budget to its turns |
//! | [`event_log`] | holds the events of a stream that several instances send |
//! | [`transcript`] | builds and caches transcripts of turns |
//! | [`admission`] | rejects new programs while engines are overloaded |
//! | [`retention`] | removes the rows of expired turns |
//! | [`shutdown`] | decides which requests are taken during a shutdown |
//! | [`outage`] | tracks store outages and how long requests wait for recovery |
//! | [`sse`] | decodes server-sent events |

pub mod account;
pub mod admission;
pub mod attempt;
pub mod config;
pub mod config_check;
pub mod config_view;
pub mod event_log;
pub mod fleet;
pub mod outage;
pub mod outlier;
pub mod path;
pub mod placement;
pub mod quota;
pub mod rate_limit;
pub mod relay;
pub mod request;
pub mod retention;
pub mod route;
pub mod shutdown;
pub mod software_version;
pub mod speed;
pub mod sse;
pub mod token_budget;
pub mod transcript;
