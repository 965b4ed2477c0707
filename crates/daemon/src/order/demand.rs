//! What the configuration and the list say about models and engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use basilramp_core::id;
use basilramp_core::plan::{Demand, Engine};
use basilramp_core::upstream::Role;

use crate::admission::is_in_force;
use crate::config::Config;
use crate::{clock, grant, upstream};

/// Returns what the plans in force ask for; of two plans for the same, the greater number holds.
pub(super) fn in_force(config: &Config) -> BTreeSet<Demand> {
    let minute = (clock::wall_ms() / 60_000 % 1_440) as u32;
    let mut engines: BTreeMap<(Arc<str>, Arc<str>), u32> = BTreeMap::new();
    for plan in config.plans.values() {
        if !is_in_force(plan, minute) {
            continue;
        }
        let Some(model) = model(config, &plan.service) else {
            continue;
        };
        let place = Arc::from(plan.place.as_str());
        let most = engines.entry((place, model)).or_default();
        *most = plan.ready.max(*most);
    }
    let demand = |((place, model), engines)| Demand {
        place,
        model,
        engines,
    };
    engines.into_iter().map(demand).collect()
}

/// Returns the engines that may be given work.
pub(super) fn engines(upstreams: &upstream::Handle) -> Vec<Engine> {
    upstreams.read(|view| {
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

/// Tells whether any service uses a model.
pub(super) fn is_used(config: &Config, model: &str) -> bool {
    let services = config.services.values();
    let mut models = services.filter_map(|service| grant::model_of(&service.target));
    models.any(|used| used == model)
}

fn model(config: &Config, service: &str) -> Option<Arc<str>> {
    let service = config.services.get(&id::Service::new(service))?;
    grant::model_of(&service.target).map(Arc::from)
}
