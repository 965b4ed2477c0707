//! The log events of the ingress; `docs/EVENTS.md` is their catalogue.

basilramp_process::events! {
    /// The listeners are bound.
    Listening = "E0701", Info, "listening";
    /// A configuration is in force, so requests are reserved.
    Ready = "E0702", Info, "ready";
    /// A stop was asked for.
    Stopping = "E0703", Info, "stopping";
    /// The process ends; `connections` were still open.
    Stopped = "E0704", Info, "stopped";
    /// SIGHUP came; changed settings take effect at the next start.
    HangupIgnored = "E0705", Info, "hangup ignored";
    /// Lines of another event were left out, as there were too many in a second.
    LinesLeftOut = "E0707", Warning, "log lines left out";
    /// The store does not answer.
    StoreDown = "E0711", Warning, "store unavailable";
    /// The store answers again; `ms` is how long it did not.
    StoreUp = "E0712", Info, "store available";
    /// The history of a feed is gone; the table is read whole.
    FeedReset = "E0713", Info, "feed reset";
    /// A row is not in its form and is passed over.
    RowUnreadable = "E0714", Warning, "row unreadable";
    /// A configuration version is in force here.
    ConfigInForce = "E0721", Info, "configuration in force";
    /// An upstream takes work.
    UpstreamJoined = "E0731", Info, "upstream joined";
    /// An upstream takes no more work.
    UpstreamLeaving = "E0732", Info, "upstream leaving";
    /// A request was answered by an upstream.
    Answered = "E0741", Info, "request answered";
    /// A request was refused or failed.
    Refused = "E0742", Info, "request refused";
    /// An attempt at an upstream failed.
    AttemptFailed = "E0743", Info, "attempt failed";
    /// The answer to a request broke off.
    Broken = "E0744", Info, "answer broken off";
    /// The caller left before the end of its answer.
    CallerLeft = "E0745", Info, "caller left";
    /// A turn that ran is given up, as its tokens could not be granted.
    GrantFailed = "E0746", Warning, "grant failed";
    /// A new program is refused, as engines are too slow for one more.
    TurnedAway = "E0747", Info, "program turned away";
}

impl basilramp_process::log::Numbered for Event {
    fn is_synchronous(self) -> bool {
        matches!(self, Self::Stopped)
    }
}
