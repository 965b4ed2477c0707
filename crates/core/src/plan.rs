//! Which engines should have which models loaded.
//!
//! Every home works this out for itself from the configuration and the list,
//! and gets the same result, so nothing has to be agreed. The engines of a
//! place are given to the demands in the demands' order: each takes those with
//! the fewest models so far, by rendezvous hashing among equals, so that an
//! engine that comes or goes moves little.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// A model that should be ready at a place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Demand {
    /// The place.
    pub place: Arc<str>,
    /// The model, as engines name it.
    pub model: Arc<str>,
    /// Engines that should have it loaded.
    pub engines: u32,
}

/// An engine at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub id: id::Upstream,
    /// Its place.
    pub place: Arc<str>,
}

/// What should be loaded, by engine.
pub type Assignment = BTreeMap<id::Upstream, BTreeSet<Arc<str>>>;

/// Gives engines to demands.
///
/// A place with fewer engines than a demand asks for gives all that it has.
#[must_use]
pub fn assign(engines: &[Engine], demands: &BTreeSet<Demand>) -> Assignment {
    let mut assignment = Assignment::new();
    for demand in demands {
        let at_place = engines.iter().filter(|engine| engine.place == demand.place);
        let mut at_place: Vec<_> = at_place.map(|engine| &engine.id).collect();
        at_place.sort_by_cached_key(|engine| {
            let models = assignment.get(*engine).map_or(0, BTreeSet::len);
            (models, weight(&demand.model, engine))
        });
        for engine in at_place.into_iter().take(demand.engines as usize) {
            let models = assignment.entry(engine.clone()).or_default();
            models.insert(Arc::clone(&demand.model));
        }
    }
    assignment
}

/// What an engine is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Load a model.
    Load(Arc<str>),
    /// Unload a model.
    Unload(Arc<str>),
}

/// Returns the next step of an engine towards what should be loaded there.
///
/// A model that should not be loaded goes only after all that should have been loaded, and only
/// if `spare` says that the plan is met without it.
pub fn next_step(
    wanted: &BTreeSet<Arc<str>>,
    loaded: &BTreeSet<Arc<str>>,
    spare: impl Fn(&str) -> bool,
) -> Option<Step> {
    if let Some(missing) = wanted.difference(loaded).next() {
        return Some(Step::Load(Arc::clone(missing)));
    }
    if wanted.is_empty() {
        return None;
    }
    let surplus = loaded.difference(wanted).find(|model| spare(model));
    surplus.map(|model| Step::Unload(Arc::clone(model)))
}

fn weight(model: &str, engine: &id::Upstream) -> u64 {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    xxh3_64_with_seed(engine.as_str().as_bytes(), seed)
}
