//! The daemon's log events; `docs/EVENTS.md` lists them for operators.
//!
//! | codes | subject |
//! |---|---|
//! | 1xx | process and shutdown |
//! | 2xx | store and commits |
//! | 3xx | membership |
//! | 4xx | configuration |
//! | 5xx | programs and calls |
//! | 6xx | upstreams: homes, grants, orders |
//! | 8xx | callers and operators |
//!
//! The code of a removed event is never reused.

basilramp_process::events! {
    /// The listeners are bound to the addresses `callers`, `operators` and `peers`.
    Listening = "E0101", Info, "listening";
    /// The instance accepts requests.
    Ready = "E0102", Info, "ready";
    /// A shutdown was requested by a signal.
    Stopping = "E0103", Info, "stopping";
    /// Requests or the handover of partitions did not finish within the shutdown timeout.
    StopBoundReached = "E0104", Warning, "stop bound reached";
    /// The process exits after a planned shutdown.
    Stopped = "E0105", Info, "stopped";
    /// The instance failed to start or stopped on an error.
    Fatal = "E0106", Error, "fatal error";
    /// Spans could not be exported.
    TraceExportFailed = "E0109", Warning, "trace export failed";

    /// The response to a transaction was lost; it is retried with its token, or read back.
    CommitUnknown = "E0202", Warning, "commit outcome unknown";
    /// A submission of a batch failed its condition and was dropped.
    CommitConflict = "E0204", Warning, "commit conflict";
    /// The table service is unavailable.
    StoreDown = "E0205", Warning, "store unavailable";
    /// The table service is available again after an outage of `ms` milliseconds.
    StoreUp = "E0206", Info, "store available";

    /// The instance acquired its lease, at its start or again after a lapse.
    LeaseAcquired = "E0301", Info, "lease acquired";
    /// The instance's lease expired; it owns no partitions until the lease is renewed.
    LeaseLapsed = "E0303", Warning, "own lease lapsed";
    /// Another instance fenced this one, which unloads its programs.
    Fenced = "E0304", Error, "fenced";
    /// A peer was fenced or ended its lease; its later writes have no effect.
    PeerFenced = "E0306", Warning, "peer fenced";
    /// A peer was discovered, or has a new incarnation.
    PeerJoined = "E0307", Info, "peer joined";
    /// A peer announced that it is draining.
    PeerLeaving = "E0308", Info, "peer leaving";
    /// The number of owned partitions changed from `before` to `now`.
    PartitionsChanged = "E0309", Info, "owned partitions changed";
    /// The platform's endpoint list could not be fetched.
    ListUnavailable = "E0313", Warning, "platform list unavailable";

    /// This instance applied a configuration version.
    ConfigInForce = "E0401", Info, "configuration in force";
    /// An operator's change was accepted.
    ConfigChanged = "E0402", Info, "configuration changed";
    /// An operator's change was rejected.
    ConfigRefused = "E0403", Info, "configuration change refused";

    /// A program ended.
    ProgramEnded = "E0502", Debug, "program ended";
    /// A program's stored rows are incomplete, unreadable or differ from its history in memory.
    HistoryBroken = "E0504", Error, "program history broken";
    /// A call is in doubt: it was sent and its outcome is unknown.
    CallInDoubt = "E0505", Warning, "call in doubt";
    /// An operator settled a call in doubt.
    CallSettled = "E0506", Info, "call settled by operator";
    /// The outcome of a call in doubt was read from the service.
    CallResolved = "E0507", Info, "call resolved by service";
    /// A request was in flight at an upstream that crashed; it runs alone from now on.
    RequestSuspected = "E0509", Warning, "request suspected";
    /// A second upstream crashed on this request, which is rejected from now on.
    RequestQuarantined = "E0510", Error, "request quarantined";
    /// The crash of an upstream could not be stored in time; its request is blocked until it is.
    CrashUnrecorded = "E0511", Warning, "crash not recorded";
    /// A call completed, `ms` milliseconds after its arrival.
    CallDone = "E0513", Debug, "call done";
    /// A call was rejected or failed; `kind` is the error kind.
    CallFailed = "E0514", Debug, "call failed";
    /// A request failed because its program was unloaded or its write was rejected, as `cause` says,
    /// after the instance had lost the program's partition.
    ProgramLost = "E0515", Warning, "program lost during a request";

    /// An upstream is new, or accepts calls again.
    UpstreamReady = "E0601", Info, "upstream ready";
    /// An upstream is draining or was removed; it receives no new calls.
    UpstreamLeaving = "E0602", Info, "upstream leaving";
    /// An upstream did not respond or crashed.
    UpstreamDown = "E0603", Warning, "upstream down";
    /// This instance became the home of an upstream.
    HomeGained = "E0604", Info, "upstream home gained";
    /// Another instance became the home of an upstream.
    HomeLost = "E0605", Info, "upstream home lost";
    /// An order was sent to an upstream.
    OrderSent = "E0606", Info, "order sent";
    /// An upstream rejected an order.
    OrderRefused = "E0607", Warning, "order refused";
    /// An order was sent again, since the outcome of an earlier one is unknown or not as ordered.
    OrderRepaired = "E0608", Info, "order repaired";
    /// An upstream released the cache memory of a program.
    Released = "E0610", Debug, "upstream memory released";
    /// Every attempt to release a program's cache memory failed; the orphan sweep retries it.
    ReleaseFailed = "E0611", Warning, "upstream release failed";
    /// Cache events of an upstream have a gap; its cache view is stale.
    CacheViewStale = "E0612", Info, "cache view stale";
    /// An upstream holds memory for a program that has ended.
    OrphanFound = "E0613", Info, "orphaned upstream memory found";
    /// An operator sent an order to an upstream.
    OrderedByHand = "E0615", Info, "order by operator";

    /// A caller's request other than a call was rejected; `kind` is the error kind.
    CallerRefused = "E0801", Debug, "caller request refused";
    /// An operator's request has no valid token.
    OperatorRefused = "E0803", Warning, "operator refused";
    /// A caller received an error caused by the system itself.
    InternalError = "E0806", Error, "internal error";
}

impl basilramp_process::log::LogEvent for Event {
    fn is_synchronous(self) -> bool {
        matches!(
            self,
            Self::Listening | Self::Stopping | Self::StopBoundReached | Self::Stopped | Self::Fatal
        )
    }
}
