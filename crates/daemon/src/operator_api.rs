//! HTTP API for operators: configuration, instances, upstreams and programs; health and metrics.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::api::Program;
use basilramp_wire::config::{Change, ConfigVersion};
use basilramp_wire::engine::Order;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body, Reply, Settlement};
use basilramp_wire::operator::{AppliedChange, Instances, IssuedOrder, Upstreams};
use gotham::handler::HandlerResult;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::StatusCode;
use serde::Deserialize;

use crate::log::{Event as LogEvent, event};
use crate::owner_router::{OwnerRouter, parse_program_id, unexpected_reply};
use crate::settings::Operator;
use crate::{
    auth, config, http_server, inventory, log, membership, metric, request_body, response, shutdown,
};

/// State shared by the handlers.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) router: OwnerRouter,
    pub(crate) config: config::Handle,
    pub(crate) metrics: metric::Handle,
    pub(crate) log: log::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) inventory: inventory::Handle,
    pub(crate) operators: Vec<Operator>,
    pub(crate) max_body_bytes: usize,
    pub(crate) shutdown: shutdown::Handle,
}

/// Path parameter: the id of a program or an upstream.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub(crate) struct ItemPath {
    id: String,
}

/// Query parameter: the version after which the change log starts.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub(crate) struct LogQuery {
    #[serde(default)]
    after: u64,
}

/// Builds the router of the operators' API.
pub(crate) fn router() -> Router {
    build_simple_router(|route| {
        http_server::reject_unknown(route);
        route.get("/healthz").to_async(show_health);
        route.get("/readyz").to_async(show_readiness);
        route.get("/metrics").to_async(show_metrics);
        route.get("/v1/config").to_async(show_config);
        route.post("/v1/config").to_async(apply_config);
        route
            .get("/v1/config/log")
            .with_query_string_extractor::<LogQuery>()
            .to_async(show_config_log);
        route.get("/v1/instances").to_async(show_instances);
        route.get("/v1/upstreams").to_async(show_upstreams);
        route
            .post("/v1/upstreams/:id/orders")
            .with_path_extractor::<ItemPath>()
            .to_async(order_upstream);
        route
            .get("/v1/programs/:id")
            .with_path_extractor::<ItemPath>()
            .to_async(show_program);
        route
            .post("/v1/programs/:id/settle")
            .with_path_extractor::<ItemPath>()
            .to_async(settle_call);
    })
}

async fn show_health(state: State) -> HandlerResult {
    Ok((state, response::text(StatusCode::OK, "ok\n")))
}

async fn show_readiness(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let response = if api.shutdown.is_stopping() {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if api.membership.live_instances().is_empty() {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "no store and no peer\n")
    } else {
        response::text(StatusCode::OK, "ready\n")
    };
    Ok((state, response))
}

async fn show_metrics(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let response = match api.metrics.render() {
        Ok(text) => response::text(StatusCode::OK, text),
        Err(error) => response::error(&Error::new(Kind::Internal, error.to_string())),
    };
    Ok((state, response))
}

async fn show_config(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let result = api.authenticate(&state).map(|_| api.config.snapshot());
    Ok((state, response::result(result)))
}

async fn apply_config(mut state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let result = try_apply_config(&api, &mut state).await;
    Ok((state, response::result(result)))
}

async fn try_apply_config(api: &Api, state: &mut State) -> Result<AppliedChange, Error> {
    let operator = api.authenticate(state)?;
    let change: Change = request_body::read_json(state, api.max_body_bytes).await?;
    let (base, edits) = (change.base, change.edits.len());
    let applied = api.config.apply(&operator, change).await;
    match &applied {
        Ok(version) => event!(api.log, LogEvent::ConfigChanged,
            "operator" => &*operator, "version" => version, "edits" => edits),
        Err(error) => event!(api.log, LogEvent::ConfigRefused,
            "operator" => &*operator, "base" => base, "kind" => error.kind.code()),
    }
    let version = applied?;
    api.notify_peers(version);
    Ok(AppliedChange { version })
}

async fn show_config_log(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let operator = api.authenticate(&state);
    let after = LogQuery::borrow_from(&state).after;
    let result = match operator {
        Ok(_) => api.config.changes_after(after).await,
        Err(error) => Err(error),
    };
    Ok((state, response::result(result)))
}

async fn show_instances(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let result = api.authenticate(&state).map(|_| Instances {
        instances: api.membership.instances(),
    });
    Ok((state, response::result(result)))
}

async fn show_upstreams(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let result = match api.authenticate(&state) {
        Ok(_) => Ok(Upstreams {
            upstreams: api.inventory.list_upstreams().await,
        }),
        Err(error) => Err(error),
    };
    Ok((state, response::result(result)))
}

async fn order_upstream(mut state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let result = try_order_upstream(&api, &mut state).await;
    Ok((state, response::result(result)))
}

async fn try_order_upstream(api: &Api, state: &mut State) -> Result<IssuedOrder, Error> {
    let operator = api.authenticate(state)?;
    let id = ItemPath::borrow_from(state).id.clone();
    let order: Order = request_body::read_json(state, api.max_body_bytes).await?;
    let fencing = api.send_order(&id, order).await?;
    event!(api.log, LogEvent::OrderedByHand,
        "operator" => &*operator, "upstream" => id, "fencing" => fencing);
    Ok(IssuedOrder { fencing })
}

async fn show_program(state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let operator = api.authenticate(&state);
    let id = ItemPath::borrow_from(&state).id.clone();
    let result = match operator {
        Ok(_) => api.read_program(id).await,
        Err(error) => Err(error),
    };
    Ok((state, response::result(result)))
}

async fn settle_call(mut state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let result = try_settle_call(&api, &mut state).await;
    Ok((state, response::result(result)))
}

async fn try_settle_call(api: &Api, state: &mut State) -> Result<Program, Error> {
    let operator = api.authenticate(state)?;
    let id = ItemPath::borrow_from(state).id.clone();
    let settlement: Settlement = request_body::read_json(state, api.max_body_bytes).await?;
    let (position, ran) = (settlement.position, settlement.ran);
    let body = Body::Settle {
        operator: operator.to_string(),
        program: id.clone(),
        settlement,
    };
    let program = api.request_program(&id, body).await?;
    event!(api.log, LogEvent::CallSettled,
        "operator" => &*operator, "program" => id, "position" => position, "ran" => ran);
    Ok(program)
}

impl Api {
    fn authenticate(&self, state: &State) -> Result<Arc<str>, Error> {
        let operator = auth::authenticate_operator(&self.operators, state);
        if operator.is_err() {
            event!(self.log, LogEvent::OperatorRefused);
        }
        operator
    }

    /// Notifies the other instances of a new configuration version.
    ///
    /// Failures are ignored, since each instance also polls the version.
    fn notify_peers(&self, version: u64) {
        let own = self.membership.own_id();
        for peer in self.membership.live_instances() {
            if peer.id == own {
                continue;
            }
            let peers = self.router.peers.clone();
            tokio::spawn(async move {
                let _ = peers
                    .request(&peer, Body::Config(ConfigVersion { version }))
                    .await;
            });
        }
    }

    /// Sends an order through the upstream's home and returns its fencing number.
    async fn send_order(&self, id: &str, order: Order) -> Result<u64, Error> {
        let upstream = id::Upstream::new(id);
        if !self.inventory.is_listed(&upstream) {
            return Err(Error::new(Kind::NotFound, "no such upstream"));
        }
        let home = self.membership.home(&upstream).ok_or_else(|| {
            let message = "the upstream currently has no home";
            Error::new(Kind::UpstreamUnavailable, message)
        })?;
        let body = Body::Order {
            upstream: id.to_owned(),
            order,
        };
        let reply = if home.id == self.membership.own_id() {
            self.router.local.handle(body).await?
        } else {
            self.router.peers.request(&home, body).await?
        };
        match reply {
            Reply::Ordered(fencing) => Ok(fencing),
            _ => Err(unexpected_reply()),
        }
    }

    async fn read_program(&self, id: String) -> Result<Program, Error> {
        let body = Body::Read {
            account: None,
            program: id.clone(),
        };
        self.request_program(&id, body).await
    }

    async fn request_program(&self, id: &str, body: Body) -> Result<Program, Error> {
        let program = parse_program_id(id)?;
        self.router.request_program(program, body).await
    }
}
