//! The table of the trees held here.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::id;
use basilramp_core::tree::Tree;
use basilramp_platform::table::{Check, Write};
use slotmap::{SlotMap, new_key_type};

use super::row;
use crate::commit;

new_key_type! {
    /// Names a tree on the trees. A tree that is loaded again has another key.
    pub(crate) struct TreeKey;
}

/// A tree and what goes with it.
#[derive(Debug)]
pub(crate) struct LoadedTree {
    /// The tree.
    pub(crate) tree: Tree,
    /// The term under which it was loaded.
    pub(crate) term: id::Term,
    /// Writes rows while the partition is owned under that term.
    pub(crate) commit: commit::Handle,
    /// Ends of programs that are not durable yet.
    pub(crate) pending_ends: u32,
    /// The version of the next head row.
    pub(crate) next_head_version: u64,
    /// Upstreams that may hold something for a program.
    pub(crate) holding_upstreams: BTreeMap<id::Program, BTreeSet<id::Upstream>>,
}

impl LoadedTree {
    /// Returns the write of a program's head, with `reserved` tokens in the root's.
    pub(crate) fn put_head(&mut self, number: u32, reserved: u64, check: Check) -> Option<Write> {
        let head = self.tree.head(number, reserved)?;
        let version = self.next_head_version;
        self.next_head_version += 1;
        Some(row::put_head(head, version, check))
    }
}

/// All trees held here.
#[derive(Debug, Default)]
pub(crate) struct LoadedTrees {
    trees: SlotMap<TreeKey, LoadedTree>,
    roots: BTreeMap<id::Program, TreeKey>,
    closed_partitions: BTreeSet<id::Partition>,
    uncommitted_bytes: usize,
}

impl LoadedTrees {
    /// Puts a tree on the trees.
    pub(crate) fn insert(&mut self, loaded: LoadedTree) -> TreeKey {
        let root = loaded.tree.root();
        let key = self.trees.insert(loaded);
        if let Some(old) = self.roots.insert(root, key) {
            self.trees.remove(old);
        }
        key
    }

    /// Takes a tree off the trees.
    pub(crate) fn remove(&mut self, key: TreeKey) {
        if let Some(loaded) = self.trees.remove(key) {
            self.roots.remove(&loaded.tree.root());
        }
    }

    /// Refuses requests for a partition.
    pub(crate) fn close_partition(&mut self, partition: id::Partition) {
        self.closed_partitions.insert(partition);
    }

    /// Takes requests for a partition.
    pub(crate) fn open_partition(&mut self, partition: id::Partition) {
        self.closed_partitions.remove(&partition);
    }

    /// Takes the trees of a partition off the trees.
    pub(crate) fn remove_partition(&mut self, partition: id::Partition) {
        for key in self.partition_keys(partition) {
            self.remove(key);
        }
    }

    /// Takes all trees off the trees.
    pub(crate) fn clear(&mut self) {
        self.trees.clear();
        self.roots.clear();
    }

    /// Changes how many bytes of turns wait for the store.
    pub(crate) fn add_uncommitted_bytes(&mut self, bytes: usize) {
        self.uncommitted_bytes += bytes;
    }

    /// Notes that turns no longer wait for the store.
    pub(crate) fn sub_uncommitted_bytes(&mut self, bytes: usize) {
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
    }

    /// Returns a tree to work on.
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

    /// Returns a tree.
    pub(crate) fn get(&self, key: TreeKey) -> Option<&LoadedTree> {
        self.trees.get(key)
    }

    /// Tells whether requests for a partition are refused.
    pub(crate) fn is_partition_closed(&self, partition: id::Partition) -> bool {
        self.closed_partitions.contains(&partition)
    }

    /// Returns the trees of a partition.
    pub(crate) fn partition_keys(&self, partition: id::Partition) -> Vec<TreeKey> {
        let keys = self.roots.iter();
        let own = keys.filter(|(root, _)| root.partition() == partition);
        own.map(|(_, key)| *key).collect()
    }

    /// Returns all trees.
    pub(crate) fn all_keys(&self) -> Vec<TreeKey> {
        self.roots.values().copied().collect()
    }

    /// Returns how many bytes of turns wait for the store.
    pub(crate) fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }
}
