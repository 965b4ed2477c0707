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
//! | 8xx | callers and operators |
//!
//! A number is never given to another event.

basilramp_process::events! {
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
    /// Spans could not be exported.
    TraceExportFailed = "E0109", Warning, "trace export failed";

    /// The answer to a commit was lost; it is sent again under its token, or read back.
    CommitUnknown = "E0202", Warning, "commit outcome unknown";
    /// A write of a batch was refused for its condition and dropped.
    CommitConflict = "E0204", Warning, "commit conflict";
    /// The table service does not answer.
    StoreDown = "E0205", Warning, "store unavailable";
    /// The table service answers again; `ms` is how long it did not.
    StoreUp = "E0206", Info, "store available";

    /// The instance's own lease is held, after a start or again.
    LeaseAcquired = "E0301", Info, "lease acquired";
    /// The instance's own lease ran out; it owns nothing until it is renewed.
    LeaseLapsed = "E0303", Warning, "own lease lapsed";
    /// Another instance fenced this one.
    Fenced = "E0304", Error, "fenced";
    /// A peer was fenced, or ended by itself: nothing that it wrote since takes effect.
    PeerFenced = "E0306", Warning, "peer fenced";
    /// A peer is seen for the first time, or with a new incarnation.
    PeerJoined = "E0307", Info, "peer joined";
    /// A peer said that it leaves.
    PeerLeaving = "E0308", Info, "peer leaving";
    /// Partitions were gained or let go; `before` and `now` count them.
    PartitionsChanged = "E0309", Info, "owned partitions changed";
    /// The platform's list of instances could not be read.
    ListUnavailable = "E0313", Warning, "platform list unavailable";

    /// A configuration version is in force here.
    ConfigInForce = "E0401", Info, "configuration in force";
    /// An operator's change was accepted.
    ConfigChanged = "E0402", Info, "configuration changed";
    /// An operator's change was refused.
    ConfigRefused = "E0403", Info, "configuration change refused";

    /// A program ended.
    ProgramEnded = "E0502", Debug, "program ended";
    /// A program's history is not whole or not its own.
    HistoryBroken = "E0504", Error, "program history broken";
    /// A call is in doubt: it was sent, and its outcome is not known.
    CallInDoubt = "E0505", Warning, "call in doubt";
    /// An operator settled a call in doubt.
    CallSettled = "E0506", Info, "call settled by operator";
    /// The service itself told the outcome of a call in doubt.
    CallResolved = "E0507", Info, "call resolved by service";
    /// A request was under way at an upstream that crashed; it runs alone from now on.
    RequestSuspected = "E0509", Warning, "request suspected";
    /// A request crashed a second upstream and is refused from now on.
    RequestQuarantined = "E0510", Error, "request quarantined";
    /// A call was answered whole; `ms` is the time from its arrival.
    CallDone = "E0513", Debug, "call done";
    /// A call was refused or failed; `kind` is the error kind.
    CallFailed = "E0514", Debug, "call failed";

    /// An upstream is new, or takes work again.
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
    /// An upstream let go of what it held for a program.
    Released = "E0610", Debug, "upstream memory released";
    /// An upstream could not be told to let go; it is tried again.
    ReleaseFailed = "E0611", Warning, "upstream release failed";
    /// Cache events of an upstream have a gap; its cache view is stale.
    CacheViewStale = "E0612", Info, "cache view stale";
    /// An upstream holds memory for a program that has ended.
    OrphanFound = "E0613", Info, "orphaned upstream memory found";
    /// An operator gave an upstream an order by hand.
    OrderedByHand = "E0615", Info, "order by operator";

    /// A caller's request other than a call was refused; `kind` is the error kind.
    CallerRefused = "E0801", Debug, "caller request refused";
    /// An operator's token is not known.
    OperatorRefused = "E0803", Warning, "operator refused";
    /// A fault of the system itself was answered to a caller or operator.
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
