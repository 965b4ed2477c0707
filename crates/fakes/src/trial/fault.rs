//! The faults of a trial.

use std::fmt;
use std::str::FromStr;

/// A fault that a trial can apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An instance is killed; it starts again later.
    Kill,
    /// An instance is stopped from running until its lease has lapsed.
    Freeze,
    /// All instances and engines of a failure domain die.
    Domain,
    /// Every instance is stopped as planned and started again, one after another.
    RollingStop,
    /// The store does not answer.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store's answers are lost after the write took effect.
    StoreLoses,
    /// The store's answers are lost before the write takes effect.
    StoreDelays,
    /// One instance is cut from the store.
    StoreCut,
    /// One instance's requests reach the store; no answers come back.
    StoreOneWay,
    /// No other instance reaches one of them.
    PeerCut,
    /// Requests of the others reach one instance; no answers come back.
    PeerOneWay,
    /// No instance reaches another.
    PeersCut,
    /// One engine is cut off.
    UpstreamCut,
    /// An engine crashes.
    EngineCrash,
    /// Streams break in the middle.
    EngineBreak,
    /// Streams hang in the middle.
    EngineHang,
    /// Answers come late.
    EngineLate,
    /// Every event of a stream is sent twice.
    EngineRepeat,
    /// Services close the connection before a call takes effect.
    ServiceCloseBefore,
    /// Services close the connection after a call took effect.
    ServiceCloseAfter,
    /// Services never answer calls that took effect.
    ServiceHang,
    /// Calls of services take effect late.
    ServiceDelay,
    /// An engine leaves and later comes back.
    Leaving,
    /// A request that crashes every engine that runs it is sent again and again.
    Poison,
    /// A program makes calls without end.
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

    /// Returns how long it lasts, in milliseconds.
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

    /// Tells whether an instance may be unable to learn a new configuration while it lasts.
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

/// A name that no fault has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownFault;

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such fault")
    }
}

impl std::error::Error for UnknownFault {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
