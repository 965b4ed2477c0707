//! Who sent a request, and what another instance says that relays it.

use std::net::IpAddr;
use std::sync::Arc;

use basilramp_adapter::caller;
use basilramp_core::dispatch::config::Route;
use basilramp_core::dispatch::request::Rejection;
use basilramp_wire as wire;
use http::Response;
use http::request::Parts;

use crate::handler::{Body, full_body};
use crate::state::State;
use crate::{config_copy, relay};

/// Who sent a request to this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The caller itself.
    Caller(IpAddr),
    /// Another instance, which has no path to the upstreams.
    Instance(Arc<str>),
}

/// What is known of a request's way to this instance.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) caller: IpAddr,
    /// Number of upstreams that may run the request, if that is less than its route allows.
    pub(crate) max_attempts: u32,
    pub(crate) relayed_by: Option<Arc<str>>,
    /// What the relaying instance's decisions rest on, if it says so.
    pub(crate) basis: Option<wire::relay::Basis>,
    /// Client account, as the relaying instance found it.
    pub(crate) client: Option<wire::relay::Client>,
}

impl Source {
    /// Reads and removes the headers of a relayed request.
    ///
    /// # Errors
    ///
    /// Returns the response to a relayed request that is declined or malformed.
    pub(crate) fn read(
        state: &State,
        origin: Origin,
        parts: &mut Parts,
    ) -> Result<Self, Box<Response<Body>>> {
        let source = match origin {
            Origin::Caller(caller) => Self {
                caller,
                max_attempts: u32::MAX,
                relayed_by: None,
                basis: None,
                client: None,
            },
            Origin::Instance(instance) => {
                if let Some(reason) = relay::decline_reason(state) {
                    let rejection = Rejection::Unreachable;
                    let mut response = caller::error_response(rejection, None).map(full_body);
                    reason.insert_into(response.headers_mut());
                    return Err(Box::new(response));
                }
                let Ok(request) = wire::relay::Request::try_from(&parts.headers) else {
                    let rejection = Rejection::Malformed;
                    let response = caller::error_response(rejection, None).map(full_body);
                    return Err(Box::new(response));
                };
                Self {
                    caller: request.caller,
                    max_attempts: request.attempts,
                    relayed_by: Some(instance),
                    basis: request.basis,
                    client: request.client,
                }
            }
        };
        wire::relay::remove_headers(&mut parts.headers);
        wire::permit::unmark(&mut parts.headers);
        wire::config_copy::unmark(&mut parts.headers);
        Ok(source)
    }

    /// Gets the configuration that the request needs, if the one in force is older.
    ///
    /// # Errors
    ///
    /// Returns a rejection if a relayed request needs a newer one.
    pub(crate) async fn catch_up(&self, state: &Arc<State>) -> Result<(), Rejection> {
        match (&self.relayed_by, self.basis) {
            (None, _) => config_copy::catch_up(state).await,
            (Some(_), None) => {}
            (Some(instance), Some(basis)) => {
                if !config_copy::ensure(state, basis.config_version, instance).await {
                    return Err(Rejection::Outdated);
                }
            }
        }
        Ok(())
    }

    /// Checks that a route does not forbid to repeat a request which the relaying instance may repeat.
    ///
    /// # Errors
    ///
    /// Returns a rejection if it does.
    pub(crate) fn check_repeats(&self, route: &Route) -> Result<(), Rejection> {
        let may_repeat = route.kind.is_idempotent() && route.retention_ms.is_none();
        match self.basis {
            Some(basis) if basis.is_repeatable && !may_repeat => Err(Rejection::Superseded),
            _ => Ok(()),
        }
    }
}
