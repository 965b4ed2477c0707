//! The operators' HTTP paths, health and metrics.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::api::Program;
use basilramp_wire::config::{Change, ConfigVersion};
use basilramp_wire::engine::Order;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body as Ask, Reply, Settlement};
use basilramp_wire::operator::{AppliedChange, Instances, IssuedOrder, Upstreams};
use gotham::handler::HandlerResult;
use gotham::prelude::*;
use gotham::router::Router as Paths;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::StatusCode;
use serde::Deserialize;

use crate::log::{Event as LogEvent, event};
use crate::route::{Router, parse, wrong_answer};
use crate::settings::Operator;
use crate::{answer, auth, body, config, front, inventory, log, membership, metric, stop};

/// What the operators' paths work with.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) router: Router,
    pub(crate) config: config::Handle,
    pub(crate) metrics: metric::Handle,
    pub(crate) log: log::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) inventory: inventory::Handle,
    pub(crate) operators: Vec<Operator>,
    pub(crate) body_bytes: usize,
    pub(crate) stop: stop::Signal,
}

/// A thing named in the path.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub(crate) struct Named {
    id: String,
}

/// Where a log of changes starts.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub(crate) struct After {
    #[serde(default)]
    after: u64,
}

/// Draws the operators' paths.
pub(crate) fn paths() -> Paths {
    build_simple_router(|route| {
        front::refuse_unknown(route);
        route.get("/healthz").to_async(healthy);
        route.get("/readyz").to_async(ready);
        route.get("/metrics").to_async(show_metrics);
        route.get("/v1/config").to_async(show_config);
        route.post("/v1/config").to_async(apply_config);
        route
            .get("/v1/config/log")
            .with_query_string_extractor::<After>()
            .to_async(show_log);
        route.get("/v1/instances").to_async(show_instances);
        route.get("/v1/upstreams").to_async(show_upstreams);
        route
            .post("/v1/upstreams/:id/orders")
            .with_path_extractor::<Named>()
            .to_async(give_order);
        route
            .get("/v1/programs/:id")
            .with_path_extractor::<Named>()
            .to_async(show_program);
        route
            .post("/v1/programs/:id/settle")
            .with_path_extractor::<Named>()
            .to_async(settle);
    })
}

async fn healthy(state: State) -> HandlerResult {
    Ok((state, answer::text(StatusCode::OK, "ok\n")))
}

async fn ready(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let response = if api.stop.is_stopping() {
        answer::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if api.membership.live_instances().is_empty() {
        answer::text(StatusCode::SERVICE_UNAVAILABLE, "no store and no peer\n")
    } else {
        answer::text(StatusCode::OK, "ready\n")
    };
    Ok((state, response))
}

async fn show_metrics(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let response = match api.metrics.render() {
        Ok(text) => answer::text(StatusCode::OK, text),
        Err(fault) => answer::error(&Error::new(Kind::Internal, fault.to_string())),
    };
    Ok((state, response))
}

async fn show_config(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let result = api.operator(&state).map(|_| api.config.snapshot());
    Ok((state, answer::result(result)))
}

async fn apply_config(mut state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let result = run_apply(&api, &mut state).await;
    Ok((state, answer::result(result)))
}

async fn run_apply(api: &Api, state: &mut State) -> Result<AppliedChange, Error> {
    let operator = api.operator(state)?;
    let change: Change = body::json(state, api.body_bytes).await?;
    let (base, edits) = (change.base, change.edits.len());
    let applied = api.config.apply(&operator, change).await;
    match &applied {
        Ok(version) => event!(api.log, LogEvent::ConfigChanged,
            "operator" => &*operator, "version" => version, "edits" => edits),
        Err(error) => event!(api.log, LogEvent::ConfigRefused,
            "operator" => &*operator, "base" => base, "kind" => error.kind.code()),
    }
    let version = applied?;
    api.announce(version);
    Ok(AppliedChange { version })
}

async fn show_log(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let operator = api.operator(&state);
    let after = After::borrow_from(&state).after;
    let result = match operator {
        Ok(_) => api.config.changes_after(after).await,
        Err(error) => Err(error),
    };
    Ok((state, answer::result(result)))
}

async fn show_instances(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let result = api.operator(&state).map(|_| Instances {
        instances: api.membership.instances(),
    });
    Ok((state, answer::result(result)))
}

async fn show_upstreams(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let result = match api.operator(&state) {
        Ok(_) => Ok(Upstreams {
            upstreams: api.inventory.upstreams().await,
        }),
        Err(error) => Err(error),
    };
    Ok((state, answer::result(result)))
}

async fn give_order(mut state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let result = run_order(&api, &mut state).await;
    Ok((state, answer::result(result)))
}

async fn run_order(api: &Api, state: &mut State) -> Result<IssuedOrder, Error> {
    let operator = api.operator(state)?;
    let id = Named::borrow_from(state).id.clone();
    let order: Order = body::json(state, api.body_bytes).await?;
    let fencing = api.order(&id, order).await?;
    event!(api.log, LogEvent::OrderedByHand,
        "operator" => &*operator, "upstream" => id, "fencing" => fencing);
    Ok(IssuedOrder { fencing })
}

async fn show_program(state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let operator = api.operator(&state);
    let id = Named::borrow_from(&state).id.clone();
    let result = match operator {
        Ok(_) => api.read(id).await,
        Err(error) => Err(error),
    };
    Ok((state, answer::result(result)))
}

async fn settle(mut state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let result = run_settle(&api, &mut state).await;
    Ok((state, answer::result(result)))
}

async fn run_settle(api: &Api, state: &mut State) -> Result<Program, Error> {
    let operator = api.operator(state)?;
    let id = Named::borrow_from(state).id.clone();
    let settlement: Settlement = body::json(state, api.body_bytes).await?;
    let (position, ran) = (settlement.position, settlement.ran);
    let body = Ask::Settle {
        operator: operator.to_string(),
        program: id.clone(),
        settlement,
    };
    let program = api.ask(&id, body).await?;
    event!(api.log, LogEvent::CallSettled,
        "operator" => &*operator, "program" => id, "position" => position, "ran" => ran);
    Ok(program)
}

impl Api {
    fn operator(&self, state: &State) -> Result<Arc<str>, Error> {
        let operator = auth::operator(&self.operators, state);
        if operator.is_err() {
            event!(self.log, LogEvent::OperatorRefused);
        }
        operator
    }

    /// Tells the other instances of a new version; one that is missed polls it.
    fn announce(&self, version: u64) {
        let own = self.membership.own_id();
        for peer in self.membership.live_instances() {
            if peer.id == own {
                continue;
            }
            let peers = self.router.peers.clone();
            tokio::spawn(async move {
                let _ = peers
                    .ask(&peer, Ask::Config(ConfigVersion { version }))
                    .await;
            });
        }
    }

    /// Has an upstream's home give it an order.
    async fn order(&self, id: &str, order: Order) -> Result<u64, Error> {
        let upstream = id::Upstream::new(id);
        if !self.inventory.is_listed(&upstream) {
            return Err(Error::new(Kind::NotFound, "no such upstream"));
        }
        let home = self.membership.home(&upstream).ok_or_else(|| {
            let message = "the upstream has no home now";
            Error::new(Kind::UpstreamUnavailable, message)
        })?;
        let body = Ask::Order {
            upstream: id.to_owned(),
            order,
        };
        let reply = if home.id == self.membership.own_id() {
            self.router.local.answer(body).await?
        } else {
            self.router.peers.ask(&home, body).await?
        };
        match reply {
            Reply::Ordered(fencing) => Ok(fencing),
            _ => Err(wrong_answer()),
        }
    }

    async fn read(&self, id: String) -> Result<Program, Error> {
        let body = Ask::Read {
            account: None,
            program: id.clone(),
        };
        self.ask(&id, body).await
    }

    async fn ask(&self, id: &str, body: Ask) -> Result<Program, Error> {
        let program = parse(id)?;
        self.router.ask_program(program, body).await
    }
}
