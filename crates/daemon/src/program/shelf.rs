//! The table of the trees held here.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::id;
use basilramp_core::tree::Tree;
use basilramp_platform::table::{Condition, Write};
use slotmap::{SlotMap, new_key_type};

use super::row;
use crate::commit;

new_key_type! {
    /// Names a tree on the shelf. A tree that is loaded again has another key.
    pub(crate) struct TreeKey;
}

/// A tree and what goes with it.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The tree.
    pub(crate) tree: Tree,
    /// The term under which it was loaded.
    pub(crate) term: id::Term,
    /// Writes rows while the partition is owned under that term.
    pub(crate) commit: commit::Handle,
    /// Ends of programs that are not durable yet.
    pub(crate) ends: u32,
    /// The version of the next head row.
    pub(crate) version: u64,
    /// Upstreams that may hold something for a program.
    pub(crate) holders: BTreeMap<id::Program, BTreeSet<id::Upstream>>,
}

impl Entry {
    /// Returns the write of a program's head, with `reserved` tokens in the root's.
    pub(crate) fn head(&mut self, number: u32, reserved: u64, check: Condition) -> Option<Write> {
        let head = self.tree.program_record(number, reserved)?;
        let version = self.version;
        self.version += 1;
        Some(row::head(head, version, check))
    }
}

/// All trees held here.
#[derive(Debug, Default)]
pub(crate) struct Shelf {
    trees: SlotMap<TreeKey, Entry>,
    roots: BTreeMap<id::Program, TreeKey>,
    closed: BTreeSet<id::Partition>,
    uncommitted: usize,
}

impl Shelf {
    /// Puts a tree on the shelf.
    pub(crate) fn insert(&mut self, entry: Entry) -> TreeKey {
        let root = entry.tree.root();
        let key = self.trees.insert(entry);
        if let Some(old) = self.roots.insert(root, key) {
            self.trees.remove(old);
        }
        key
    }

    /// Takes a tree off the shelf.
    pub(crate) fn remove(&mut self, key: TreeKey) {
        if let Some(entry) = self.trees.remove(key) {
            self.roots.remove(&entry.tree.root());
        }
    }

    /// Refuses requests for a partition.
    pub(crate) fn close(&mut self, partition: id::Partition) {
        self.closed.insert(partition);
    }

    /// Takes requests for a partition.
    pub(crate) fn open(&mut self, partition: id::Partition) {
        self.closed.remove(&partition);
    }

    /// Takes the trees of a partition off the shelf.
    pub(crate) fn forget(&mut self, partition: id::Partition) {
        for key in self.keys(partition) {
            self.remove(key);
        }
    }

    /// Takes all trees off the shelf.
    pub(crate) fn clear(&mut self) {
        self.trees.clear();
        self.roots.clear();
    }

    /// Changes how many bytes of turns wait for the store.
    pub(crate) fn add_uncommitted(&mut self, bytes: usize) {
        self.uncommitted += bytes;
    }

    /// Notes that turns no longer wait for the store.
    pub(crate) fn sub_uncommitted(&mut self, bytes: usize) {
        self.uncommitted = self.uncommitted.saturating_sub(bytes);
    }

    /// Returns a tree to work on.
    pub(crate) fn get_mut(&mut self, key: TreeKey) -> Option<&mut Entry> {
        self.trees.get_mut(key)
    }
}

/// Queries.
impl Shelf {
    /// Returns the key of a root's tree.
    pub(crate) fn find(&self, root: id::Program) -> Option<TreeKey> {
        self.roots.get(&root).copied()
    }

    /// Returns a tree.
    pub(crate) fn get(&self, key: TreeKey) -> Option<&Entry> {
        self.trees.get(key)
    }

    /// Tells whether requests for a partition are refused.
    pub(crate) fn is_closed(&self, partition: id::Partition) -> bool {
        self.closed.contains(&partition)
    }

    /// Returns the trees of a partition.
    pub(crate) fn keys(&self, partition: id::Partition) -> Vec<TreeKey> {
        let keys = self.roots.iter();
        let own = keys.filter(|(root, _)| root.partition() == partition);
        own.map(|(_, key)| *key).collect()
    }

    /// Returns all trees.
    pub(crate) fn all(&self) -> Vec<TreeKey> {
        self.roots.values().copied().collect()
    }

    /// Returns how many bytes of turns wait for the store.
    pub(crate) fn uncommitted(&self) -> usize {
        self.uncommitted
    }
}
