//! Queries for programs that are running or have ended.

use std::collections::BTreeMap;

use basilramp_core::id;
use basilramp_platform::table::Key;

use super::{Handle, Shared, row};

impl Handle {
    /// Returns the loaded root programs that have not ended, by account.
    pub(crate) fn list_running(&self) -> BTreeMap<id::Account, Vec<id::Program>> {
        let trees = self.shared.lock();
        let entries = trees
            .all_keys()
            .into_iter()
            .filter_map(|key| trees.get(key));
        let mut programs: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for loaded in entries {
            let tree = &loaded.tree;
            if tree.key(0).is_some_and(|key| !tree.is_ended(key)) {
                let account = tree.account().clone();
                programs.entry(account).or_default().push(tree.root());
            }
        }
        programs
    }

    /// Returns those of the given programs that have ended.
    ///
    /// Leaves out programs whose partition this instance does not own or whose state can't be
    /// read.
    pub(crate) async fn filter_ended(&self, programs: Vec<id::Program>) -> Vec<id::Program> {
        let mut ended = Vec::new();
        for program in programs {
            if has_ended(&self.shared, program).await {
                ended.push(program);
            }
        }
        ended
    }
}

async fn has_ended(shared: &Shared, program: id::Program) -> bool {
    let partition = program.partition();
    if shared.owned_term(partition).is_err() {
        return false;
    }
    if let Some(ended) = ended_if_loaded(shared, program) {
        return ended;
    }
    let root = program.tree_root();
    let key = Key::new(row::live_key(partition), root.to_string());
    let row = shared.dependencies.table.get(&key).await;
    matches!(row, Ok(None)) && shared.owned_term(partition).is_ok()
}

/// Returns whether a program has ended, or `None` if its tree is not loaded.
fn ended_if_loaded(shared: &Shared, program: id::Program) -> Option<bool> {
    let trees = shared.lock();
    let loaded = trees.get(trees.find_key(program.tree_root())?)?;
    let tree = &loaded.tree;
    let ended = tree
        .key(program.number())
        .is_none_or(|key| tree.is_ended(key));
    Some(ended)
}
