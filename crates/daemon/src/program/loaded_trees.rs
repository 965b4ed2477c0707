//! The table of loaded program trees.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::id;
use basilramp_core::tree::Tree;
use basilramp_platform::table::{Condition, Write};
use slotmap::{SlotMap, new_key_type};

use super::row;
use crate::commit;

new_key_type! {
    /// Identifies a loaded tree. A tree that is loaded again gets another key.
    pub(crate) struct TreeKey;
}

/// A loaded tree and the state of this instance that belongs to it.
#[derive(Debug)]
pub(crate) struct LoadedTree {
    /// The tree.
    pub(crate) tree: Tree,
    /// The term in which the tree was loaded.
    pub(crate) term: id::Term,
    /// Commit handle that writes only while the partition is owned in that term.
    pub(crate) commit: commit::Handle,
    /// Number of ends of programs that are not durable yet.
    pub(crate) pending_ends: u32,
    /// Version of the next head row that is written.
    pub(crate) next_head_version: u64,
    /// Upstreams that may hold state for each program.
    pub(crate) holding_upstreams: BTreeMap<id::Program, BTreeSet<id::Upstream>>,
}

impl LoadedTree {
    /// Returns a write of a program's head row. The root's row stores the `reserved` tokens.
    pub(crate) fn put_head(
        &mut self,
        number: u32,
        reserved: u64,
        check: Condition,
    ) -> Option<Write> {
        let head = self.tree.program_record(number, reserved)?;
        let version = self.next_head_version;
        self.next_head_version += 1;
        Some(row::put_head(head, version, check))
    }
}

/// All loaded trees, and the partitions that are closed to requests.
#[derive(Debug, Default)]
pub(crate) struct LoadedTrees {
    trees: SlotMap<TreeKey, LoadedTree>,
    roots: BTreeMap<id::Program, TreeKey>,
    closed_partitions: BTreeSet<id::Partition>,
    uncommitted_bytes: usize,
}

impl LoadedTrees {
    /// Inserts a tree and replaces an earlier one with the same root.
    pub(crate) fn insert(&mut self, loaded: LoadedTree) -> TreeKey {
        let root = loaded.tree.root();
        let key = self.trees.insert(loaded);
        if let Some(old) = self.roots.insert(root, key) {
            self.trees.remove(old);
        }
        key
    }

    /// Unloads a tree.
    pub(crate) fn remove(&mut self, key: TreeKey) {
        if let Some(loaded) = self.trees.remove(key) {
            self.roots.remove(&loaded.tree.root());
        }
    }

    /// Rejects requests for a partition from now on.
    pub(crate) fn close_partition(&mut self, partition: id::Partition) {
        self.closed_partitions.insert(partition);
    }

    /// Accepts requests for a partition from now on.
    pub(crate) fn open_partition(&mut self, partition: id::Partition) {
        self.closed_partitions.remove(&partition);
    }

    /// Unloads the trees of a partition.
    pub(crate) fn remove_partition(&mut self, partition: id::Partition) {
        for key in self.partition_keys(partition) {
            self.remove(key);
        }
    }

    /// Unloads all trees.
    pub(crate) fn clear(&mut self) {
        self.trees.clear();
        self.roots.clear();
    }

    /// Adds bytes of turns that are not durable yet.
    pub(crate) fn add_uncommitted_bytes(&mut self, bytes: usize) {
        self.uncommitted_bytes += bytes;
    }

    /// Subtracts bytes of turns that are durable or have failed.
    pub(crate) fn sub_uncommitted_bytes(&mut self, bytes: usize) {
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
    }

    /// Returns a loaded tree for changes.
    pub(crate) fn get_mut(&mut self, key: TreeKey) -> Option<&mut LoadedTree> {
        self.trees.get_mut(key)
    }
}

/// Queries.
impl LoadedTrees {
    /// Returns the key of a root's tree.
    pub(crate) fn find_key(&self, root: id::Program) -> Option<TreeKey> {
        self.roots.get(&root).copied()
    }

    /// Returns a loaded tree.
    pub(crate) fn get(&self, key: TreeKey) -> Option<&LoadedTree> {
        self.trees.get(key)
    }

    /// Returns whether requests for a partition are rejected.
    pub(crate) fn is_partition_closed(&self, partition: id::Partition) -> bool {
        self.closed_partitions.contains(&partition)
    }

    /// Returns the keys of a partition's trees.
    pub(crate) fn partition_keys(&self, partition: id::Partition) -> Vec<TreeKey> {
        let keys = self.roots.iter();
        let own = keys.filter(|(root, _)| root.partition() == partition);
        own.map(|(_, key)| *key).collect()
    }

    /// Returns the keys of all trees.
    pub(crate) fn all_keys(&self) -> Vec<TreeKey> {
        self.roots.values().copied().collect()
    }

    /// Returns the bytes of turns that are not durable yet.
    pub(crate) fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }
}
