//! Log events of the ingress. `docs/EVENTS.md` lists them.

basilramp_process::events! {
    /// The listeners are bound.
    Listening = "E0701", Info, "listening";
    /// The first configuration is in force, so requests are accepted.
    Ready = "E0702", Info, "ready";
    /// A stop signal was received.
    Stopping = "E0703", Info, "stopping";
    /// The process exits with `connections` connections still open.
    Stopped = "E0704", Info, "stopped";
    /// SIGHUP was received. Changed settings take effect at the next start.
    HangupIgnored = "E0705", Info, "hangup ignored";
    /// A connection of a caller was closed at once, as the instance has `connections` of them.
    ConnectionRefused = "E0706", Warning, "connection refused";
    /// Lines of an event were dropped because it exceeded its rate limit.
    LinesLeftOut = "E0707", Warning, "log lines left out";
    /// A background task failed unexpectedly and is started again.
    TaskFailed = "E0708", Error, "task failed";
    /// The store is unavailable.
    StoreDown = "E0711", Warning, "store unavailable";
    /// The store is available again after an outage of `ms`.
    StoreUp = "E0712", Info, "store available";
    /// The change feed no longer has the requested versions, so the whole table is read.
    FeedReset = "E0713", Info, "feed reset";
    /// A row could not be decoded and is skipped.
    RowUnreadable = "E0714", Warning, "row unreadable";
    /// A configuration version is in force at this instance.
    ConfigInForce = "E0721", Info, "configuration in force";
    /// An upstream accepts requests.
    UpstreamJoined = "E0731", Info, "upstream joined";
    /// An upstream stops accepting requests.
    UpstreamLeaving = "E0732", Info, "upstream leaving";
    /// An upstream gets no requests for `ms`, as it fails more often than its service.
    UpstreamEjected = "E0733", Warning, "upstream ejected";
    /// An ejected upstream responds again and gets requests, few at first.
    UpstreamRestored = "E0734", Info, "upstream restored";
    /// An upstream names a limit of `per_s` requests per second, or a limit that can't be read.
    UpstreamLimited = "E0735", Info, "upstream limits its rate";
    /// An upstream no longer limits its rate.
    UpstreamUnlimited = "E0736", Info, "upstream no longer limits its rate";
    /// A request got no permit for an upstream that limits its rate.
    PermitDenied = "E0737", Info, "permit denied";
    /// A limit could not be shared, or a permit not be taken, as the store did not confirm it.
    LimitFailed = "E0738", Warning, "rate limit not stored";
    /// A request was completely answered by an upstream.
    Answered = "E0741", Info, "request answered";
    /// A request was rejected or failed.
    Refused = "E0742", Info, "request refused";
    /// An attempt at an upstream failed.
    AttemptFailed = "E0743", Info, "attempt failed";
    /// The response to a request was aborted before its end.
    Broken = "E0744", Info, "answer broken off";
    /// The caller disconnected before the end of its response.
    CallerLeft = "E0745", Info, "caller left";
    /// A turn was aborted because its tokens could not be granted.
    GrantFailed = "E0746", Warning, "grant failed";
    /// A new program was rejected because the engines are overloaded.
    TurnedAway = "E0747", Info, "program turned away";
    /// A stream goes on at an upstream after an event that the caller has received.
    StreamContinued = "E0748", Info, "stream continued";
    /// A stream can't be taken up, as the version that began it is not known.
    VersionUnknown = "E0749", Info, "version of the stream unknown";
    /// The version of a stream could not be stored, so its first event was not sent.
    VersionNotStored = "E0750", Warning, "version of the stream not stored";
    /// A turn can't be taken up, as not all events that its caller has are known.
    EventsUnknown = "E0756", Info, "events of the stream unknown";
    /// A request was in flight when an upstream crashed; it is the request's crash number `crashes`.
    RequestSuspected = "E0751", Warning, "request suspected";
    /// A request is rejected, as it crashed upstreams.
    RequestQuarantined = "E0752", Warning, "request quarantined";
    /// A suspect is no longer one: it completed, its upstream is alive, or an operator released it.
    SuspectCleared = "E0753", Info, "suspect cleared";
    /// A change of suspects could not be stored yet.
    SuspectNotStored = "E0754", Warning, "suspect not stored";
    /// A connection ended under a request, and the upstream did not crash or may not have.
    CrashNotConfirmed = "E0755", Info, "crash not confirmed";
    /// No upstream accepts a connection of this instance.
    PathLost = "E0761", Warning, "path to upstreams lost";
    /// Upstreams accept connections of this instance again, after `ms`.
    PathRestored = "E0762", Info, "path to upstreams restored";
    /// A response of another instance was passed on, as this one has no path to the upstreams.
    RequestRelayed = "E0763", Info, "request relayed";
    /// Another instance did not handle a request, or its response was interrupted.
    RelayFailed = "E0764", Info, "relay failed";
    /// A connection to the address for instances was closed, as no instance was recognized.
    PeerRejected = "E0765", Warning, "peer rejected";
    /// A call of the store for the rows of the instances failed.
    MembershipFailed = "E0766", Warning, "membership call failed";
    /// A newer configuration could not be copied from another instance.
    ConfigNotCopied = "E0767", Warning, "configuration not copied";
    /// The store was not heard of for `age_ms`, so that it was looked for a newer configuration.
    ConfigAssessed = "E0768", Info, "configuration assessed";
    /// The versions of a service changed, and this instance stored it.
    VersionsRecorded = "E0771", Info, "versions stored";
    /// A call of the store for the histories of versions failed.
    VersionsFailed = "E0772", Warning, "version history call failed";
    /// A request was rejected, as its account has used up its quota.
    QuotaUsedUp = "E0781", Info, "quota used up";
    /// A call of the store for an account's quota failed.
    QuotaFailed = "E0782", Warning, "quota call failed";
}

impl basilramp_process::log::LogEvent for Event {
    fn is_synchronous(self) -> bool {
        matches!(self, Self::Stopped)
    }
}
