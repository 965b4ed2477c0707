//! All suspects that an instance knows, from their rows and from its own observations.

use std::collections::{BTreeMap, BTreeSet};

use super::target::Evidence;
use super::{Limits, Suspect, Verdict};
use crate::clock::Time;
use crate::history::Digest;
use crate::id;

const LIMITS: Limits = Limits::SHARED;

/// Time after the last change at which a suspect is forgotten, in milliseconds.
const SUSPECT_RETENTION_MS: u64 = 10 * 60_000;

/// Time after the last change at which a quarantined request is forgotten, in milliseconds.
const QUARANTINE_RETENTION_MS: u64 = 24 * 3_600_000;

/// Time after which a trial without an outcome no longer keeps other copies waiting, in milliseconds.
/// Its instance may have died, and a request that crashes upstreams does so when it begins to run.
const TRIAL_TIMEOUT_MS: u64 = 5_000;

/// How long a suspect lets the trial of another one go first that is suspected of a crash of its own,
/// in milliseconds.
const RIVAL_WAIT_MS: u64 = 5_000;

/// Time for which the crash of an upstream that turned out to be alive is ignored in rows, in
/// milliseconds: until every instance has written its own rows again.
const RETRACTION_MS: u64 = 60_000;

/// Maximum number of suspects; each takes some hundred bytes. Those with the fewest crashes are
/// dropped first.
const MAX_SUSPECTS: usize = 10_000;

/// The suspects by the fingerprints of their requests.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<Digest, Entry>,
    /// Upstreams that were reported to have crashed and are alive, and since when that is known.
    retracted: BTreeMap<id::Upstream, Time>,
    /// Suspects whose rows have to be removed.
    cleared: BTreeSet<Digest>,
}

#[derive(Debug)]
struct Entry {
    /// The suspect as stored, without retracted crashes.
    suspect: Suspect,
    /// Version of the row; 0 if there is none.
    version: u64,
    /// Crashes that this instance observed and that are not in the row yet.
    unstored: Vec<id::Upstream>,
    /// Whether the row names a retracted crash or a trial that has ended.
    is_outdated: bool,
    changed_at: Time,
}

/// A change of a suspect's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// The new content; `None` removes the row.
    pub suspect: Option<Suspect>,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// A suspect in a list for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// The suspect.
    pub suspect: Suspect,
    /// How its request may proceed.
    pub verdict: Verdict,
    /// Milliseconds since its last change.
    pub age_ms: u64,
}

impl Entry {
    fn crashed(&self) -> impl Iterator<Item = &id::Upstream> {
        let unstored = self.unstored.iter();
        let unstored = unstored.filter(|upstream| !self.suspect.crashed.contains(upstream));
        self.suspect.crashed.iter().chain(unstored)
    }

    fn crashes(&self) -> usize {
        self.crashed().count()
    }

    fn met(&self, upstream: &id::Upstream) -> bool {
        self.crashed().any(|crashed| crashed == upstream)
    }

    /// Returns the suspect with the crashes that are not stored yet.
    fn current(&self) -> Suspect {
        Suspect {
            crashed: self.crashed().cloned().collect(),
            // A crash ends the trial.
            trial: self
                .suspect
                .trial
                .clone()
                .filter(|_| self.unstored.is_empty()),
            ..self.suspect
        }
    }

    const fn needs_write(&self) -> bool {
        !self.unstored.is_empty() || self.is_outdated
    }

    fn is_trial_stale(&self, now: Time) -> bool {
        now.since(self.changed_at) >= TRIAL_TIMEOUT_MS
    }
}

impl Table {
    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of crashes of a request.
    #[must_use]
    pub fn crashes(&self, fingerprint: Digest) -> usize {
        self.entries.get(&fingerprint).map_or(0, Entry::crashes)
    }

    /// Applies the content of a row.
    pub fn apply_row(&mut self, fingerprint: Digest, mut stored: Suspect, version: u64, now: Time) {
        let crashes = stored.crashed.len();
        let retracted = &self.retracted;
        stored
            .crashed
            .retain(|upstream| !retracted.contains_key(upstream));
        let is_outdated = stored.crashed.len() < crashes;
        let known = self.entries.remove(&fingerprint);
        if known.as_ref().is_some_and(|known| known.version > version) {
            self.entries.extend(known.map(|known| (fingerprint, known)));
            return;
        }
        let known = known.map(|known| (known.unstored, known.suspect));
        let (mut unstored, known) = known.unwrap_or_default();
        unstored.retain(|upstream| !stored.crashed.contains(upstream));
        if !unstored.is_empty() {
            stored.target = stored.target.or(known.target);
            stored.has_failed_trial |= known.has_failed_trial;
        }
        let entry = Entry {
            suspect: stored,
            version,
            unstored,
            is_outdated,
            changed_at: now,
        };
        self.insert(fingerprint, entry);
    }

    /// Applies the removal of a row as of `version`.
    pub fn apply_removal(&mut self, fingerprint: Digest, version: u64) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if entry.version > version {
            return;
        }
        entry.suspect = Suspect::default();
        entry.version = 0;
        entry.is_outdated = false;
        if entry.unstored.is_empty() {
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns the stored suspects that a whole table as of `version` does not contain.
    #[must_use]
    pub fn missing_rows(&self, rows: &BTreeSet<Digest>, version: u64) -> Vec<Digest> {
        let stored = self.entries.iter();
        let stored = stored.filter(|(_, entry)| (1..=version).contains(&entry.version));
        let missing = stored.filter(|(fingerprint, _)| !rows.contains(fingerprint));
        missing.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Records that an upstream crashed with a request in flight. Returns the request's crashes.
    pub fn record_crash(
        &mut self,
        fingerprint: Digest,
        upstream: &id::Upstream,
        now: Time,
    ) -> usize {
        let mut entry = self.entries.remove(&fingerprint).unwrap_or(Entry {
            suspect: Suspect::default(),
            version: 0,
            unstored: Vec::new(),
            is_outdated: false,
            changed_at: now,
        });
        if !entry.met(upstream) && !self.retracted.contains_key(upstream) {
            entry.suspect.has_failed_trial |= entry.suspect.trial.as_ref() == Some(upstream);
            entry.unstored.push(upstream.clone());
            entry.changed_at = now;
        }
        let crashes = entry.crashes();
        if crashes > 0 {
            self.insert(fingerprint, entry);
        }
        crashes
    }

    /// Sets the target of a suspect.
    pub fn set_target(&mut self, fingerprint: Digest, target: Digest) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.suspect.target = Some(target);
        }
    }

    /// Records that a request for a target has completed, so that the target is held against no suspect.
    /// Returns whether it was one of some.
    pub fn exonerate(&mut self, target: Digest) -> bool {
        let suspects = self.entries.values_mut();
        let mut is_known = false;
        for entry in suspects.filter(|entry| entry.suspect.target == Some(target)) {
            entry.suspect.target = None;
            entry.is_outdated |= entry.version > 0;
            is_known = true;
        }
        is_known
    }

    /// Returns how a request may proceed because of other requests for its target.
    #[must_use]
    pub fn target_verdict(&self, target: Digest, now: Time) -> Verdict {
        let is_of_target = |entry: &&Entry| entry.suspect.target == Some(target);
        let suspects = || self.entries.values();
        if !suspects().any(|entry| is_of_target(&entry)) {
            return Verdict::Unrestricted;
        }
        let convicted: Vec<_> = suspects()
            .filter(|entry| entry.crashes() >= LIMITS.quarantine)
            .collect();
        let has_several = convicted.iter().filter(|entry| is_of_target(entry)).count() > 1;
        let explains = |entry: &&Entry| !(has_several && is_of_target(entry));
        let explained: BTreeSet<_> = convicted
            .into_iter()
            .filter(explains)
            .flat_map(Entry::crashed)
            .collect();
        let mut evidence = Evidence::default();
        for entry in suspects().filter(is_of_target) {
            let mut current = entry.current();
            current
                .crashed
                .retain(|upstream| !explained.contains(upstream));
            let is_on_trial = current.trial.is_some() && !entry.is_trial_stale(now);
            evidence.add(current, is_on_trial, entry.changed_at);
        }
        evidence.verdict(now)
    }

    /// Records that an upstream did not crash. Returns the requests that were suspected of it.
    pub fn retract(&mut self, upstream: &id::Upstream, now: Time) -> Vec<Digest> {
        self.retracted.insert(upstream.clone(), now);
        let suspected = self.entries.iter_mut();
        let suspected = suspected.filter(|(_, entry)| entry.met(upstream));
        let mut released = Vec::new();
        for (fingerprint, entry) in suspected {
            entry.unstored.retain(|crashed| crashed != upstream);
            let stored = entry.suspect.crashed.len();
            entry.suspect.crashed.retain(|crashed| crashed != upstream);
            entry.is_outdated |= entry.suspect.crashed.len() < stored;
            released.push(*fingerprint);
        }
        self.entries
            .retain(|_, entry| entry.version > 0 || !entry.unstored.is_empty());
        released
    }

    /// Forgets a request that has completed or was released. Returns whether it was a suspect.
    pub fn clear(&mut self, fingerprint: Digest) -> bool {
        let Some(entry) = self.entries.remove(&fingerprint) else {
            return false;
        };
        if entry.version > 0 {
            self.cleared.insert(fingerprint);
        }
        true
    }

    /// Returns at most `max` changes that have to be written. Removals are unconditional.
    #[must_use]
    pub fn changes(&self, max: usize) -> Vec<Change> {
        let written = self.entries.iter().filter(|(_, entry)| entry.needs_write());
        let written = written.map(|(fingerprint, entry)| {
            let suspect = Some(entry.current()).filter(|suspect| !suspect.crashed.is_empty());
            Change {
                fingerprint: *fingerprint,
                suspect,
                version: entry.version,
            }
        });
        let removed = self.cleared.iter().map(|fingerprint| Change {
            fingerprint: *fingerprint,
            suspect: None,
            version: 0,
        });
        written.chain(removed).take(max).collect()
    }

    /// Records that a change was written, in the transaction with this version.
    pub fn record_written(&mut self, change: &Change, version: u64, now: Time) {
        self.cleared.remove(&change.fingerprint);
        match &change.suspect {
            Some(suspect) => self.apply_row(change.fingerprint, suspect.clone(), version, now),
            None => self.apply_removal(change.fingerprint, version),
        }
    }

    /// Returns whether all crashes of a request are stored.
    #[must_use]
    pub fn is_stored(&self, fingerprint: Digest) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_none_or(|entry| entry.unstored.is_empty())
    }

    /// Returns the change that starts a trial of a request for a target at an upstream, or `None` if a
    /// crash of the request is not stored yet. The request may be no suspect itself.
    #[must_use]
    pub fn target_trial(
        &self,
        fingerprint: Digest,
        target: Digest,
        upstream: &id::Upstream,
    ) -> Option<Change> {
        if self.entries.contains_key(&fingerprint) {
            return self.trial(fingerprint, upstream);
        }
        let suspect = Suspect {
            target: Some(target),
            ..Suspect::default()
        };
        Some(Change {
            fingerprint,
            suspect: Some(suspect.with_trial(upstream)),
            version: 0,
        })
    }

    /// Returns the change that starts a trial of a request at an upstream, or `None` if a crash of
    /// the request is not stored yet.
    #[must_use]
    pub fn trial(&self, fingerprint: Digest, upstream: &id::Upstream) -> Option<Change> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.version > 0 && entry.unstored.is_empty()).then(|| Change {
            fingerprint,
            suspect: Some(entry.suspect.clone().with_trial(upstream)),
            version: entry.version,
        })
    }

    /// Ends the trial of a request at an upstream without an outcome. Returns whether there was one,
    /// whose row has to be written.
    pub fn end_trial(&mut self, fingerprint: Digest, upstream: &id::Upstream) -> bool {
        let entry = self.entries.get_mut(&fingerprint);
        let Some(entry) = entry.filter(|entry| entry.suspect.trial.as_ref() == Some(upstream))
        else {
            return false;
        };
        entry.suspect.trial = None;
        entry.is_outdated = true;
        true
    }

    /// Returns the upstreams at which suspects are on trial.
    #[must_use]
    pub fn trial_upstreams(&self, now: Time) -> Vec<id::Upstream> {
        let trials = self.entries.values().filter_map(|entry| {
            let trial = entry.current().trial?;
            (!entry.is_trial_stale(now)).then_some(trial)
        });
        trials.collect()
    }

    /// Returns how a request may proceed.
    ///
    /// A crash is not held against a request while another suspect with as many crashes was in
    /// flight there too. A further trial of one of them tells which is to blame.
    #[must_use]
    pub fn verdict(&self, fingerprint: Digest, now: Time) -> Verdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Verdict::Unrestricted;
        };
        let current = entry.current();
        let verdict = match current.verdict(LIMITS) {
            Verdict::Quarantined => {
                let contestants = self.contestants(fingerprint, entry);
                let is_contested =
                    |crash: &&id::Upstream| contestants.iter().any(|(_, other)| other.met(crash));
                let blamed = entry.crashed().filter(|crash| !is_contested(crash));
                if blamed.count() >= LIMITS.quarantine {
                    return Verdict::Quarantined;
                }
                let crashes = entry.crashes();
                let goes_first = |other: Digest, known: &Entry| {
                    known.crashes() == crashes
                        && other < fingerprint
                        && now.since(known.changed_at) < RIVAL_WAIT_MS
                };
                let mut contestants = contestants.into_iter();
                let must_wait = contestants.any(|(other, known)| goes_first(other, known));
                if must_wait || current.trial.is_some() {
                    Verdict::Busy
                } else {
                    Verdict::Trial
                }
            }
            verdict => verdict,
        };
        if verdict == Verdict::Busy && current.trial.is_some() && entry.is_trial_stale(now) {
            return Verdict::Trial;
        }
        verdict
    }

    /// Returns all suspects, for operators.
    #[must_use]
    pub fn list(&self, now: Time) -> Vec<Listed> {
        let listed = self.entries.iter().map(|(fingerprint, entry)| Listed {
            fingerprint: *fingerprint,
            suspect: entry.current(),
            verdict: {
                let own = self.verdict(*fingerprint, now);
                let target = entry.suspect.target;
                target.map_or(own, |target| own.max(self.target_verdict(target, now)))
            },
            age_ms: now.since(entry.changed_at),
        });
        listed.collect()
    }

    /// Forgets suspects that have not changed for long. `draw` is a random number from 0 to 1 that
    /// keeps the instances from removing the same rows at the same time.
    pub fn expire(&mut self, draw: f64, now: Time) {
        let retraction = |since: &Time| now.since(*since) < RETRACTION_MS;
        self.retracted.retain(|_, since| retraction(since));
        let expired = self.entries.iter().filter(|(_, entry)| {
            let retention_ms = if entry.crashes() >= LIMITS.quarantine {
                QUARANTINE_RETENTION_MS
            } else {
                SUSPECT_RETENTION_MS
            };
            now.since(entry.changed_at) as f64 >= retention_ms as f64 * (1.0 + draw)
        });
        let expired: Vec<_> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in expired {
            self.clear(fingerprint);
        }
    }

    /// Returns the other suspects with at least as many crashes that share a crash with a request.
    fn contestants(&self, fingerprint: Digest, entry: &Entry) -> Vec<(Digest, &Entry)> {
        let crashes = entry.crashes();
        let others = self.entries.iter().filter(|(other, known)| {
            **other != fingerprint
                && known.crashes() >= crashes
                && entry.crashed().any(|upstream| known.met(upstream))
        });
        others.map(|(other, known)| (*other, known)).collect()
    }

    fn insert(&mut self, fingerprint: Digest, entry: Entry) {
        if self.entries.len() >= MAX_SUSPECTS {
            let fewest = self
                .entries
                .iter()
                .min_by_key(|(_, known)| (known.crashes(), known.changed_at));
            if let Some(fewest) = fewest.map(|(fingerprint, _)| *fingerprint) {
                self.clear(fewest);
            }
        }
        self.entries.insert(fingerprint, entry);
    }
}
