//! Faults that a trial can inject.

use std::fmt;
use std::str::FromStr;

/// A fault that a trial can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An instance is killed and restarted later.
    Kill,
    /// The process of an instance is suspended until its lease has expired.
    Freeze,
    /// One instance is killed and one engine goes down, as when a failure domain is lost.
    Domain,
    /// Every instance is shut down gracefully and restarted, one after another.
    RollingStop,
    /// The store is unavailable.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// Responses of the store are lost after the write took effect.
    StoreLoses,
    /// Responses of the store are lost, and the write takes effect later.
    StoreDelays,
    /// One instance is partitioned from the store.
    StoreCut,
    /// Requests of one instance reach the store, but responses are dropped.
    StoreOneWay,
    /// One instance is unreachable for its peers.
    PeerCut,
    /// Requests of the peers reach one instance, but its responses are dropped.
    PeerOneWay,
    /// All instances are partitioned from each other.
    PeersCut,
    /// One engine is partitioned from the instances.
    UpstreamCut,
    /// One engine crashes.
    EngineCrash,
    /// Response streams of engines break off.
    EngineBreak,
    /// Response streams of engines stall.
    EngineHang,
    /// Responses of engines are delayed.
    EngineLate,
    /// Engines send every event of a response stream twice.
    EngineRepeat,
    /// Services close the connection before a call takes effect.
    ServiceCloseBefore,
    /// Services close the connection after a call took effect.
    ServiceCloseAfter,
    /// Services never respond to calls that took effect.
    ServiceHang,
    /// Calls to services take effect after a delay.
    ServiceDelay,
    /// One engine drains and becomes ready again later.
    Leaving,
    /// A request that crashes every engine that runs it is sent repeatedly.
    Poison,
    /// A program makes calls until its budget ends it.
    Loop,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 26] = [
        Self::Kill,
        Self::Freeze,
        Self::Domain,
        Self::RollingStop,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLoses,
        Self::StoreDelays,
        Self::StoreCut,
        Self::StoreOneWay,
        Self::PeerCut,
        Self::PeerOneWay,
        Self::PeersCut,
        Self::UpstreamCut,
        Self::EngineCrash,
        Self::EngineBreak,
        Self::EngineHang,
        Self::EngineLate,
        Self::EngineRepeat,
        Self::ServiceCloseBefore,
        Self::ServiceCloseAfter,
        Self::ServiceHang,
        Self::ServiceDelay,
        Self::Leaving,
        Self::Poison,
        Self::Loop,
    ];

    /// Returns the minimum duration in milliseconds.
    pub(crate) const fn duration_ms(self) -> u64 {
        match self {
            Self::Freeze | Self::StoreCut | Self::StoreOneWay => 4_000,
            Self::PeerCut | Self::PeerOneWay | Self::PeersCut => 4_000,
            Self::Domain | Self::Leaving => 5_000,
            Self::StoreDown => 6_000,
            Self::RollingStop => 0,
            _ => 3_000,
        }
    }

    /// Returns whether the fault may keep an instance from reading a new configuration version.
    pub(crate) const fn delays_configuration(self) -> bool {
        matches!(
            self,
            Self::Freeze
                | Self::StoreDown
                | Self::StoreSlow
                | Self::StoreLoses
                | Self::StoreDelays
                | Self::StoreCut
                | Self::StoreOneWay
        )
    }
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let named = |fault: &Self| fault.to_string() == name;
        Self::ALL.into_iter().find(named).ok_or(UnknownFault)
    }
}

/// Error for a name that is not the name of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownFault;

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown fault name")
    }
}

impl std::error::Error for UnknownFault {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
