//! Identifiers used throughout the scheduler.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Number of partitions of the program trees.
pub const PARTITIONS: u16 = 1024;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the id from its text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the id.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// An instance of the daemon, named in its settings.
    Instance
}
text_id! {
    /// A model engine or plain service, named in the platform's list.
    Upstream
}
text_id! {
    /// A caller's account.
    Account
}
text_id! {
    /// A configured service: a model with its adapter, or a plain service.
    Service
}
text_id! {
    /// A request id, chosen by the caller and unique within a program.
    Request
}

/// A start of an instance. Later starts of the same instance have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// A partition of the program trees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition(pub u16);

/// Number of ownership changes of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

/// A program, identified by the root of its tree and its number within the tree.
///
/// The root program has number zero. The text form is `p` and 16 hexadecimal digits. For
/// sub-agents, `-` and the number follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Program {
    root: u64,
    number: u32,
}

impl Program {
    /// Creates the id of a root program from its account and creation request.
    ///
    /// The same account and request give the same id, which makes creation idempotent.
    #[must_use]
    pub fn root(account: &Account, request: &Request) -> Self {
        let mut hash = Sha256::new();
        hash.update(account.as_str().len().to_be_bytes());
        hash.update(account.as_str());
        hash.update(request.as_str());
        let digest = hash.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self {
            root: u64::from_be_bytes(first),
            number: 0,
        }
    }

    /// Returns the program with this number in the same tree.
    #[must_use]
    pub const fn member(self, number: u32) -> Self {
        Self {
            root: self.root,
            number,
        }
    }

    /// Returns the root program of the tree.
    #[must_use]
    pub const fn tree_root(self) -> Self {
        self.member(0)
    }

    /// Returns the number within the tree.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.number
    }

    /// Returns whether this is the root of its tree.
    #[must_use]
    pub const fn is_root(self) -> bool {
        self.number == 0
    }

    /// Returns the partition of the whole tree.
    #[must_use]
    pub fn partition(self) -> Partition {
        let hash = xxh3_64(&self.root.to_be_bytes());
        let index = hash % u64::from(PARTITIONS);
        Partition(index as u16)
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{:016x}", self.root)?;
        if self.number > 0 {
            write!(f, "-{}", self.number)?;
        }
        Ok(())
    }
}

/// The text is not a valid program id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a program id")
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Program {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let text = text.strip_prefix('p').ok_or(Malformed)?;
        let (root, number) = match text.split_once('-') {
            Some((root, number)) => (root, number.parse().map_err(|_| Malformed)?),
            None => (text, 0),
        };
        if root.len() != 16 {
            return Err(Malformed);
        }
        let root = u64::from_str_radix(root, 16).map_err(|_| Malformed)?;
        let id = Self { root, number };
        Ok(id)
    }
}
