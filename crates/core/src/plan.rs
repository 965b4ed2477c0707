//! Assignment of models to engines.
//!
//! Every home computes the assignment from the configuration and the list of engines. All homes get
//! the same result, so no coordination is needed. Demands are processed in their order. Each demand
//! takes the engines of its place with the fewest models assigned so far. Rendezvous hashing
//! decides between equal engines, so that few models move when an engine joins or leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// A model that must be loaded at a place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Demand {
    /// The place of the engines.
    pub place: Arc<str>,
    /// The model under the name that engines use.
    pub model: Arc<str>,
    /// Number of engines that must have the model loaded.
    pub engines: u32,
}

/// An engine and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The id of the engine.
    pub id: id::Upstream,
    /// The place of the engine.
    pub place: Arc<str>,
}

/// The models to load, by engine.
pub type Assignment = BTreeMap<id::Upstream, BTreeSet<Arc<str>>>;

/// Assigns engines to demands.
///
/// If a place has fewer engines than a demand needs, the demand gets all of them.
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

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Loads a model.
    Load(Arc<str>),
    /// Unloads a model.
    Unload(Arc<str>),
}

/// Returns the next order that moves an engine towards its wanted models.
///
/// A surplus model is unloaded only after all wanted models are loaded, and only if `spare` returns
/// `true` because the plan is met without it.
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
