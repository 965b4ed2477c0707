//! Measured speed of a service's upstreams, on which the costs of placement are based.
//!
//! Model engines differ by orders of magnitude in how fast they read and generate, and the
//! configuration does not state it. Completed turns show it: the time to the first event grows with
//! the prompt tokens that the engine had to read before it, and the slope of that line is the time
//! per token, free of the constant part of every turn.

/// Observations after which an older one has lost most of its weight.
const WINDOW: f64 = 200.0;

/// Turns before the measured slope replaces the ratio of the means.
const MIN_TURNS: f64 = 20.0;

/// Limits of the time per token, as fractions of the whole time to the first event per token. The
/// upper one would mean that turns have no constant part.
const MIN_SLOPE_SHARE: f64 = 0.1;
const MAX_SLOPE_SHARE: f64 = 1.0;

/// Share of a turn's duration that one more request in the batch adds to it.
const BATCH_SHARE: f64 = 0.003;

/// Slowdown of a service's turns up to which they measure its speed. Beyond it, their durations
/// mostly measure how long turns wait for each other, and sessions would leave the engines that
/// have their prompts cached.
const MAX_SLOWDOWN: f64 = 1.6;

/// Estimates before the first measurement. They only have to be of a common order of magnitude.
const INITIAL_READ_MS: f64 = 1.0 / 30.0;
const INITIAL_TURN_MS: f64 = 300.0;
const INITIAL_PLAIN_MS: f64 = 60.0;
const INITIAL_BASE_MS: f64 = 5.0;

/// Measured speed of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSpeed {
    first_event: Line,
    turn_ms: Mean,
    plain_ms: Mean,
    new_tokens: Mean,
}

impl ServiceSpeed {
    /// Records a turn that completed at the first upstream that was tried: the tokens that the
    /// engine had to read until its first event, the time until then, and the whole duration.
    ///
    /// `slowdown` is the present slowdown of the service's turns; while it is high, nothing is
    /// learned.
    pub fn record_turn(&mut self, tokens: u64, first_event_ms: f64, turn_ms: f64, slowdown: f64) {
        if slowdown > MAX_SLOWDOWN {
            return;
        }
        self.first_event.record(tokens as f64, first_event_ms);
        self.turn_ms.record(turn_ms);
    }

    /// Records the duration of a successful request to a plain service.
    pub fn record_plain(&mut self, ms: f64) {
        self.plain_ms.record(ms);
    }

    /// Records the tokens of a turn that its previous turn did not have, when both are known.
    pub fn record_new_tokens(&mut self, tokens: u64) {
        self.new_tokens.record(tokens as f64);
    }

    /// Returns the time that an engine takes to read a token, in milliseconds.
    #[must_use]
    pub fn read_ms(&self) -> f64 {
        self.first_event.slope().unwrap_or(INITIAL_READ_MS)
    }

    /// Returns the time to the first event of a turn whose prompt is cached, in milliseconds.
    #[must_use]
    pub fn base_ms(&self) -> f64 {
        self.first_event.intercept().unwrap_or(INITIAL_BASE_MS)
    }

    /// Returns the duration of a turn, in milliseconds.
    #[must_use]
    pub fn turn_ms(&self) -> f64 {
        self.turn_ms.get().unwrap_or(INITIAL_TURN_MS)
    }

    /// Returns the delay that each request in a batch adds to another one, in milliseconds.
    #[must_use]
    pub fn batch_ms(&self) -> f64 {
        self.turn_ms() * BATCH_SHARE
    }

    /// Returns the duration of a request to a plain service, in milliseconds.
    #[must_use]
    pub fn plain_ms(&self) -> f64 {
        self.plain_ms.get().unwrap_or(INITIAL_PLAIN_MS)
    }

    /// Returns the number of tokens that a turn adds to its previous one, or `None` if it is not
    /// known yet.
    #[must_use]
    pub fn new_tokens(&self) -> Option<u64> {
        self.new_tokens.get().map(|tokens| tokens as u64)
    }
}

/// Mean of the recent values.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    weight: f64,
    sum: f64,
}

impl Mean {
    fn record(&mut self, value: f64) {
        let decay = 1.0 - 1.0 / WINDOW;
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + value;
    }

    fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Least-squares line through the recent points.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    fn record(&mut self, x: f64, y: f64) {
        let decay = 1.0 - 1.0 / WINDOW;
        self.weight = self.weight * decay + 1.0;
        self.x = self.x * decay + x;
        self.y = self.y * decay + y;
        self.xx = self.xx * decay + x * x;
        self.xy = self.xy * decay + x * y;
    }

    /// Returns the slope, within its limits.
    fn slope(&self) -> Option<f64> {
        if self.x <= 0.0 {
            return None;
        }
        let ratio = self.y / self.x;
        let variance = self.xx - self.x * self.x / self.weight;
        let covariance = self.xy - self.x * self.y / self.weight;
        if self.weight < MIN_TURNS || variance <= 0.0 {
            return Some(ratio);
        }
        let slope = covariance / variance;
        Some(slope.clamp(ratio * MIN_SLOPE_SHARE, ratio * MAX_SLOPE_SHARE))
    }

    fn intercept(&self) -> Option<f64> {
        let slope = self.slope()?;
        Some((self.y - slope * self.x) / self.weight).map(|intercept| intercept.max(0.0))
    }
}
