//! Setup and result of a replay.

use super::{DOMAINS, TICK_MS};

/// What happens to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// It accepts no connections and breaks off its responses. Its entry stays.
    Fail,
    /// It accepts connections again.
    Heal,
    /// Its entry says that it is draining. It ends 3 s later.
    Drain,
    /// It joins as a new incarnation, with an empty cache.
    Join,
    /// Its speed changes.
    Speed(f64),
    /// Its cache is empty.
    EmptyCache,
}

/// A replay.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    /// Speeds of the upstreams in each failure domain, in turn, or of the failure domains.
    pub(crate) speeds: Vec<f64>,
    pub(crate) has_speeds_by_domain: bool,
    /// Load as a share of all slots.
    pub(crate) utilisation: f64,
    /// Whether programs begin with one of a few prompts, rather than with a prompt of their own.
    pub(crate) shares_prompts: bool,
    pub(crate) duration_ms: u64,
    /// Actions with their times and upstreams.
    pub(crate) actions: Vec<(u64, usize, Action)>,
    /// Upstreams that have not joined at the begin.
    pub(crate) absent: Vec<usize>,
    /// Time before which overload is not measured, as all caches are cold or speeds not known.
    pub(crate) measured_from_ms: u64,
    pub(crate) seed: u64,
}

impl Setup {
    /// Returns the speed of an upstream at the begin.
    pub(crate) fn speed(&self, index: usize) -> f64 {
        let turn = match self.has_speeds_by_domain {
            true => index,
            false => index / DOMAINS,
        };
        self.speeds[turn % self.speeds.len()]
    }
}

/// What a replay shows.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Slots in use by upstream and tick.
    pub(crate) busy: Vec<Vec<u32>>,
    /// Longest time for which each upstream had more requests than slots while another had room.
    pub(crate) overload_ms: Vec<u64>,
    /// Completed turns by upstream.
    pub(crate) completed: Vec<u32>,
    /// Turns that failed at all upstreams that were tried.
    pub(crate) failed: u32,
    /// Completed turns.
    pub(crate) turns: u32,
    /// Times from the arrival to the end of completed turns.
    pub(crate) latency_ms: Vec<u64>,
    /// Attempts that failed.
    pub(crate) failed_attempts: u32,
    pub(crate) ejections: u32,
}

impl Report {
    /// Returns the slots of an upstream in use between two times, on average.
    pub(crate) fn mean_busy(&self, upstream: usize, range: std::ops::Range<u64>) -> f64 {
        let ticks = (range.start / TICK_MS) as usize..(range.end / TICK_MS) as usize;
        let busy = &self.busy[upstream][ticks];
        busy.iter().map(|slots| f64::from(*slots)).sum::<f64>() / busy.len() as f64
    }

    /// Returns the share of the slots that some upstreams leave idle and their peers use on average.
    pub(crate) fn idle_share(&self, targets: &[usize], range: &std::ops::Range<u64>) -> f64 {
        let mean = |is_target: bool| {
            let upstreams =
                (0..self.busy.len()).filter(|index| targets.contains(index) == is_target);
            let busy: Vec<_> = upstreams
                .map(|index| self.mean_busy(index, range.clone()))
                .filter(|busy| is_target || *busy > 0.0)
                .collect();
            busy.iter().sum::<f64>() / busy.len() as f64
        };
        1.0 - mean(true) / mean(false)
    }

    pub(crate) fn max_overload_ms(&self) -> u64 {
        self.overload_ms.iter().copied().max().unwrap_or_default()
    }

    pub(crate) fn quantile_ms(&self, share: f64) -> u64 {
        let mut sorted = self.latency_ms.clone();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }
}
