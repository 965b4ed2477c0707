//! Random workloads: accounts, turns and pauses of programs, derived from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Deployment whose programs are simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Longer chains of turns from few accounts, whose users wait for the result.
    Trust,
    /// Shorter chains of turns from many accounts, with longer prompts.
    Atlas,
}

/// One call and the pause after it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    /// Tokens that it adds to the prompt.
    pub(crate) added: u64,
    /// Tokens that it generates.
    pub(crate) output: u64,
    /// Duration of the tool call after it, in milliseconds.
    pub(crate) pause_ms: u64,
    /// Turns of the sub-agent that runs after it; zero for none.
    pub(crate) sub_turns: u32,
}

impl Deployment {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Trust => "Trust",
            Self::Atlas => "Atlas",
        }
    }

    /// Number of accounts.
    pub(crate) const fn accounts(self) -> u32 {
        match self {
            Self::Trust => 4,
            Self::Atlas => 24,
        }
    }

    /// Weight of lost cache relative to waiting time.
    pub(crate) const fn cache_weight(self) -> f64 {
        match self {
            Self::Trust => 0.25,
            Self::Atlas => 2.0,
        }
    }

    /// Planned arrival rate in programs per second.
    pub(crate) const fn planned_per_s(self) -> f64 {
        match self {
            Self::Trust => 4.0,
            Self::Atlas => 4.0,
        }
    }

    /// Draws the account and the turns of the program with an arrival number.
    pub(crate) fn program(self, seed: u64, arrival: u64) -> (u32, Vec<Turn>) {
        let random = &mut random(seed, arrival, 0);
        let account = random.random_range(0..self.accounts());
        let (alpha, first) = match self {
            Self::Trust => (1.2, 800..2_400),
            Self::Atlas => (1.6, 2_000..6_000),
        };
        let turns = chain_length(random, alpha);
        let mut turns: Vec<_> = (0..turns).map(|_| turn(random, true)).collect();
        turns[0].added = random.random_range(first);
        (account, turns)
    }

    /// Draws the turns of the sub-agent that a program's turn spawns.
    pub(crate) fn sub_agent(seed: u64, arrival: u64, parent: usize, turns: u32) -> Vec<Turn> {
        let random = &mut random(seed, arrival, parent as u64 + 1);
        let mut turns: Vec<_> = (0..turns).map(|_| turn(random, false)).collect();
        turns[0].added = random.random_range(400..1_200);
        turns
    }
}

/// Returns the random generator of one program or sub-agent, independent of all others.
fn random(seed: u64, arrival: u64, turn: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64((seed << 48) + (arrival << 16) + turn)
}

/// Draws the length of a chain: Pareto, from 3 to 180 turns.
fn chain_length(random: &mut ChaCha8Rng, alpha: f64) -> u32 {
    let uniform: f64 = random.random_range(0.000_1..1.0);
    let turns = 3.0 * uniform.powf(-1.0 / alpha);
    turns.min(180.0) as u32
}

fn turn(random: &mut ChaCha8Rng, spawns: bool) -> Turn {
    let spawned = spawns && random.random_bool(0.05);
    Turn {
        added: random.random_range(60..500),
        output: random.random_range(30..220),
        pause_ms: pause_ms(random),
        sub_turns: if spawned {
            random.random_range(3..8)
        } else {
            0
        },
    }
}

/// Draws the duration of a tool call: exponential, with a long mean for one in twenty.
fn pause_ms(random: &mut ChaCha8Rng) -> u64 {
    let uniform: f64 = random.random_range(0.000_1..1.0);
    let mean_ms = if random.random_bool(0.05) {
        8_000.0
    } else {
        600.0
    };
    (-uniform.ln() * mean_ms) as u64
}
