//! The closed list of log events; `docs/EVENTS.md` is its catalogue.
//!
//! | numbers | part |
//! |---|---|
//! | 1xx | process and stop |
//! | 2xx | store and commits |
//! | 3xx | membership |
//! | 4xx | configuration |
//! | 5xx | programs and calls |
//! | 6xx | upstreams: homes, grants, orders |
//! | 7xx | connections between instances |
//! | 8xx | callers and operators |
//!
//! A number is never given to another event.

use slog::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $level:ident, $message:literal;)+) => {
        /// Every event that is logged.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $($(#[$doc])* $variant,)+
        }

        impl Event {
            /// All events, by number.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the event's number, as in `E0101`.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the event's name in the code.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => stringify!($variant),)+
                }
            }

            /// Returns how severe it is.
            #[must_use]
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$variant => Level::$level,)+
                }
            }

            /// Returns the text of `msg`.
            #[must_use]
            pub const fn message(self) -> &'static str {
                match self {
                    $(Self::$variant => $message,)+
                }
            }
        }
    };
}

events! {
    /// The listeners are bound; `callers`, `operators` and `peers` are their addresses.
    Listening = "E0101", Info, "listening";
    /// The instance takes requests.
    Ready = "E0102", Info, "ready";
    /// A stop was asked for; `signal` says by what.
    Stopping = "E0103", Info, "stopping";
    /// Requests in flight passed the bound of the stop and are cut off; `requests` counts them.
    StopBoundReached = "E0104", Warning, "stop bound reached";
    /// The process ends.
    Stopped = "E0105", Info, "stopped";
    /// A listener or task failed in a way that ends the process.
    Fatal = "E0106", Error, "fatal error";
    /// The instance no longer takes requests, though it does not stop; `reason` says why.
    NotReady = "E0107", Warning, "not ready";
    /// A task ended though it should not have; `task` names it.
    TaskFailed = "E0108", Error, "task failed";
    /// Spans could not be exported.
    TraceExportFailed = "E0109", Warning, "trace export failed";

    /// A batch was committed; `items`, `writes` and `ms` tell its size and time.
    Committed = "E0201", Debug, "batch committed";
    /// A commit's answer was lost; the batch is sent again under its token.
    CommitUnknown = "E0202", Warning, "commit outcome unknown";
    /// The outcome of a commit whose answer was lost became known; `effect` says it.
    CommitResolved = "E0203", Info, "commit outcome resolved";
    /// A write of a batch was refused for its condition and dropped.
    CommitConflict = "E0204", Warning, "commit conflict";
    /// The table service does not answer.
    StoreDown = "E0205", Warning, "store unavailable";
    /// The table service answers again; `ms` is how long it did not.
    StoreUp = "E0206", Info, "store available";
    /// The object store does not answer.
    ObjectStoreDown = "E0207", Warning, "object store unavailable";
    /// The object store answers again.
    ObjectStoreUp = "E0208", Info, "object store available";
    /// Turns that wait for the store reached their bound; calls are refused.
    UncommittedFull = "E0209", Warning, "uncommitted turns at their bound";
    /// A row does not have the shape that it should have.
    RecordMalformed = "E0210", Error, "malformed record";
    /// The table service asked to slow down.
    StoreThrottled = "E0211", Warning, "store throttled";

    /// The instance's own lease row was written for this start.
    LeaseAcquired = "E0301", Info, "lease acquired";
    /// The instance's own lease was renewed.
    LeaseRenewed = "E0302", Debug, "lease renewed";
    /// The instance's own lease ran out; it owns nothing until it is renewed.
    LeaseLapsed = "E0303", Warning, "own lease lapsed";
    /// Another instance fenced this one.
    Fenced = "E0304", Error, "fenced";
    /// A peer's lease lapsed; `peer` names it.
    PeerLapsed = "E0305", Warning, "peer lease lapsed";
    /// This instance fenced a peer.
    PeerFenced = "E0306", Warning, "peer fenced";
    /// A peer is seen for the first time, or with a new incarnation.
    PeerJoined = "E0307", Info, "peer joined";
    /// A peer said that it leaves.
    PeerLeaving = "E0308", Info, "peer leaving";
    /// Partitions were claimed; `partitions` counts them.
    PartitionsGained = "E0309", Info, "partitions gained";
    /// Partitions were handed over.
    PartitionsReleased = "E0310", Info, "partitions released";
    /// A claim on a partition was lost to another instance.
    ClaimLost = "E0311", Debug, "partition claim lost";
    /// Ownership stays as it is while the store is out of reach.
    OwnershipFrozen = "E0312", Warning, "ownership frozen";
    /// The platform's list of instances could not be read.
    ListUnavailable = "E0313", Warning, "platform list unavailable";

    /// A configuration version is in force here.
    ConfigInForce = "E0401", Info, "configuration in force";
    /// An operator's change was accepted.
    ConfigChanged = "E0402", Info, "configuration changed";
    /// An operator's change was refused.
    ConfigRefused = "E0403", Info, "configuration change refused";
    /// The configuration could not be read.
    ConfigUnavailable = "E0404", Warning, "configuration unavailable";

    /// A program was created.
    ProgramCreated = "E0501", Debug, "program created";
    /// A program ended.
    ProgramEnded = "E0502", Debug, "program ended";
    /// A program was loaded from the store, after a takeover or a pause.
    ProgramLoaded = "E0503", Debug, "program loaded";
    /// A program's history is not whole or not its own.
    HistoryBroken = "E0504", Error, "program history broken";
    /// A call is in doubt: it was sent, and its outcome is not known.
    CallInDoubt = "E0505", Warning, "call in doubt";
    /// An operator settled a call in doubt.
    CallSettled = "E0506", Info, "call settled by operator";
    /// The service itself told the outcome of a call in doubt.
    CallResolved = "E0507", Info, "call resolved by service";
    /// A budget of a program was used up.
    BudgetExhausted = "E0508", Info, "budget exhausted";
    /// A request was under way at an upstream that crashed; it runs alone from now on.
    RequestSuspected = "E0509", Warning, "request suspected";
    /// A request crashed a second upstream and is refused from now on.
    RequestQuarantined = "E0510", Error, "request quarantined";
    /// A call that may be repeated is tried again.
    CallRetried = "E0511", Info, "call retried";
    /// A call's caller went away; its stream was cancelled.
    CallCancelled = "E0512", Debug, "call cancelled";
    /// A call ended; `program`, `position`, `service` and `ms` tell about it.
    CallDone = "E0513", Debug, "call done";
    /// A call failed; `kind` is the error kind.
    CallFailed = "E0514", Info, "call failed";

    /// An upstream is new, or back.
    UpstreamReady = "E0601", Info, "upstream ready";
    /// An upstream leaves; it gets no new work.
    UpstreamLeaving = "E0602", Info, "upstream leaving";
    /// An upstream does not answer or crashed.
    UpstreamDown = "E0603", Warning, "upstream down";
    /// This instance became the home of an upstream.
    HomeGained = "E0604", Info, "upstream home gained";
    /// Another instance became the home of an upstream.
    HomeLost = "E0605", Info, "upstream home lost";
    /// An order was sent to an upstream.
    OrderSent = "E0606", Info, "order sent";
    /// An upstream refused an order.
    OrderRefused = "E0607", Warning, "order refused";
    /// An order's outcome is not known or not what was asked; it is repaired.
    OrderRepaired = "E0608", Info, "order repaired";
    /// A grant was not given back in time.
    GrantExpired = "E0609", Warning, "grant expired";
    /// An upstream let go of what it held for a program.
    Released = "E0610", Debug, "upstream memory released";
    /// An upstream could not be told to let go; it is tried again.
    ReleaseFailed = "E0611", Warning, "upstream release failed";
    /// Cache events of an upstream have a gap; its cache view is stale.
    CacheViewStale = "E0612", Info, "cache view stale";
    /// An upstream holds memory for a program that has ended.
    OrphanFound = "E0613", Info, "orphaned upstream memory found";
    /// An upstream's home can't be reached; the instance's own small share is used.
    HomeUnreachable = "E0614", Warning, "upstream home unreachable";

    /// A connection to a peer was made.
    PeerConnected = "E0701", Debug, "peer connected";
    /// A peer can't be reached.
    PeerUnreachable = "E0702", Warning, "peer unreachable";
    /// A peer's certificate was refused.
    PeerRefused = "E0703", Warning, "peer refused";
    /// A frame could not be read.
    FrameMalformed = "E0704", Warning, "malformed frame";
    /// A connection to a peer was lost.
    PeerDisconnected = "E0705", Debug, "peer disconnected";

    /// A caller's request was refused; `kind` is the error kind.
    CallerRefused = "E0801", Debug, "caller request refused";
    /// An operator did something; `operator`, `action` and `outcome` make the audit record.
    OperatorAction = "E0802", Info, "operator action";
    /// An operator's token is not known.
    OperatorRefused = "E0803", Warning, "operator refused";
    /// A connection was refused or broke off before a request was read.
    ConnectionFailed = "E0804", Debug, "connection failed";
    /// The bound on requests under way was reached; requests are refused.
    RequestsFull = "E0805", Warning, "requests at their bound";
    /// A fault of the system itself was answered to a caller or operator.
    InternalError = "E0806", Error, "internal error";
}

impl Event {
    /// Tells whether its line is written before the code that logs it goes on.
    #[must_use]
    pub const fn is_synchronous(self) -> bool {
        matches!(
            self,
            Self::Listening | Self::Stopping | Self::StopBoundReached | Self::Stopped | Self::Fatal
        )
    }
}
