//! Tests of the ingress process against fakes of the store and the upstreams.

mod account_data;
mod account_relay;
mod accounts;
mod admission;
mod budget;
mod client_faults;
mod crashing_request;
mod discovery;
mod early_rejection;
mod endless_bytes;
mod forwarding;
mod history;
mod leaving;
mod lost_path;
mod outage;
mod process;
mod quota;
mod rate_limit;
mod relayed_config;
mod scripted_upstream;
mod soak;
mod software_version;
mod support;
mod taken_up_turn;
mod truncated_head;
mod upstream_faults;
