//! Demand for models from the configuration, and the engines available for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use basilramp_core::id;
use basilramp_core::plan::{Demand, Engine};
use basilramp_core::upstream::Role;

use crate::admission::is_plan_active;
use crate::config::Config;
use crate::{clock, grant, upstream};

/// Returns the demand of the active plans. If several plans name the same place and model, the
/// largest number of engines applies.
pub(super) fn active_demands(config: &Config) -> BTreeSet<Demand> {
    let minute = (clock::unix_time_ms() / 60_000 % 1_440) as u32;
    let mut engines: BTreeMap<(Arc<str>, Arc<str>), u32> = BTreeMap::new();
    for plan in config.plans.values() {
        if !is_plan_active(plan, minute) {
            continue;
        }
        let Some(model) = engine_model(config, &plan.service) else {
            continue;
        };
        let place = Arc::from(plan.place.as_str());
        let max_engines = engines.entry((place, model)).or_default();
        *max_engines = plan.ready.max(*max_engines);
    }
    let demand = |((place, model), engines)| Demand {
        place,
        model,
        engines,
    };
    engines.into_iter().map(demand).collect()
}

/// Returns the engines that accept work.
pub(super) fn available_engines(upstreams: &upstream::Handle) -> Vec<Engine> {
    upstreams.query(|view| {
        let engines = view
            .accepting_work()
            .filter(|listing| listing.role == Role::Engine);
        let engines = engines.map(|listing| Engine {
            id: listing.id.clone(),
            place: Arc::clone(&listing.place),
        });
        engines.collect()
    })
}

/// Returns whether any service uses a model.
pub(super) fn is_model_used(config: &Config, model: &str) -> bool {
    let services = config.services.values();
    let mut models = services.filter_map(|service| grant::engine_model_name(&service.target));
    models.any(|used| used == model)
}

fn engine_model(config: &Config, service: &str) -> Option<Arc<str>> {
    let service = config.services.get(&id::Service::new(service))?;
    grant::engine_model_name(&service.target).map(Arc::from)
}
