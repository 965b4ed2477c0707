//! The measurements, each taken at several sizes.

use std::time::{Duration, Instant};

use basilramp_fakes::cluster::{model_service, set_item};
use basilramp_fakes::platform::{Entry, Role, State};
use eyre::{Result, eyre};

use crate::bench::{Bench, Sample};
use crate::fit::Series;
use crate::usage;

/// Time for a deployment to become idle.
const SETTLE_MS: u64 = 8_000;

/// Time over which an idle deployment is observed.
const OBSERVATION_MS: u64 = 10_000;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Measures idle instances: the cost of membership and configuration.
pub(crate) async fn instances() -> Result<Vec<Series>> {
    let mut reads = Series::new("store reads a second, all", "instances");
    let mut writes = Series::new("store writes a second, all", "instances");
    let mut rows = Series::new("rows read a second, all", "instances");
    let mut bytes = Series::new("store bytes a second for each instance", "instances");
    let mut cpu = Series::new("% of a core for each instance", "instances");
    let mut memory = Series::new("MB for each instance", "instances");
    for count in [3, 6, 12, 24, 48] {
        let bench = Bench::start(count).await?;
        bench.idle(SETTLE_MS).await;
        let before = bench.sample()?;
        bench.idle(OBSERVATION_MS).await;
        let after = bench.sample()?;
        let seconds = OBSERVATION_MS as f64 / MS_PER_S;
        reads.add(count, after.reads_since(&before) / seconds);
        writes.add(count, after.writes_since(&before) / seconds);
        let read = after.store.query_rows - before.store.query_rows;
        rows.add(count, read as f64 / seconds);
        let moved = (after.store.bytes - before.store.bytes) as f64;
        bytes.add(count, moved / seconds / count as f64);
        let share = after.cpu_since(&before) / OBSERVATION_MS as f64 * 100.0;
        cpu.add(count, share / count as f64);
        let each = (0..count).map(|index| usage::memory_mb(bench.process(index)?));
        let total: f64 = each.collect::<Result<Vec<_>>>()?.iter().sum();
        memory.add(count, total / count as f64);
    }
    Ok(vec![reads, writes, rows, bytes, cpu, memory])
}

/// Measures the memory of programs on one instance, with short and with long histories.
pub(crate) async fn programs() -> Result<Vec<Series>> {
    let mut series = Vec::new();
    for (prompt, quantity) in [
        (100, "MB with 100 bytes of history each"),
        (10_000, "MB with 10,000 bytes of history each"),
    ] {
        let mut memory = Series::new(quantity, "programs under way");
        let bench = Bench::start(1).await?;
        bench.add_programs(0..100, prompt).await?;
        let mut existing = 100;
        for count in [500, 1_000, 2_000, 4_000] {
            bench.add_programs(existing..count, prompt).await?;
            existing = count;
            memory.add(count, usage::memory_mb(bench.process(0)?)?);
        }
        series.push(memory);
    }
    Ok(series)
}

/// Measures calls on one instance, and calls forwarded from one instance to another.
pub(crate) async fn calls() -> Result<Vec<Series>> {
    let mut own = Series::new("ms of processor time, one instance", "calls");
    let mut writes = Series::new("store writes, one instance", "calls");
    let bench = Bench::start(1).await?;
    let programs = bench.add_programs(0..64, 100).await?;
    for (count, before, after) in call_rounds(&bench, &programs).await? {
        own.add(count, after.cpu_since(&before));
        writes.add(count, after.writes_since(&before));
    }
    let mut entry = Series::new("ms of processor time, an entry that owns nothing", "calls");
    let mut owner = Series::new("ms of processor time, the owner", "calls");
    let bench = Bench::start(2).await?;
    let all = bench.add_programs(0..128, 100).await?;
    let programs = owned_elsewhere(&bench, &all).await?;
    for (count, before, after) in call_rounds(&bench, &programs).await? {
        entry.add(count, after.cpu_ms[0] - before.cpu_ms[0]);
        owner.add(count, after.cpu_ms[1] - before.cpu_ms[1]);
    }
    Ok(vec![own, writes, entry, owner])
}

/// Runs rounds of calls through the first instance. Returns the number of calls of each round and
/// the samples before and after it.
async fn call_rounds(bench: &Bench, programs: &[String]) -> Result<Vec<(usize, Sample, Sample)>> {
    bench.run_calls(0, programs, 1..3).await?;
    let mut position = 3;
    let mut rounds = Vec::new();
    for turns in [8, 16, 32, 64] {
        let before = bench.sample()?;
        let positions = position..position + turns;
        bench.run_calls(0, programs, positions).await?;
        position += turns;
        let count = programs.len() * turns as usize;
        rounds.push((count, before, bench.sample()?));
    }
    Ok(rounds)
}

/// Measures the streaming of tokens through an entry instance and an owner.
pub(crate) async fn tokens() -> Result<Vec<Series>> {
    let mut entry = Series::new("ms of processor time, the entry", "tokens of 256 calls");
    let mut owner = Series::new("ms of processor time, the owner", "tokens of 256 calls");
    let bench = Bench::start(2).await?;
    let all = bench.add_programs(0..256, 100).await?;
    let programs = owned_elsewhere(&bench, &all).await?;
    let programs = programs
        .get(..64)
        .ok_or_else(|| eyre!("too few programs"))?;
    let mut position = 1;
    for max_tokens in [8, 32, 64, 128, 256] {
        let before = bench.sample()?;
        let streamed = bench
            .run_models(programs, position..position + 4, max_tokens)
            .await?;
        position += 4;
        let after = bench.sample()?;
        entry.add(streamed, after.cpu_ms[0] - before.cpu_ms[0]);
        owner.add(streamed, after.cpu_ms[1] - before.cpu_ms[1]);
    }
    Ok(vec![entry, owner])
}

/// Returns the programs whose partition the second instance owns, according to the table.
pub(crate) async fn owned_elsewhere(bench: &Bench, programs: &[String]) -> Result<Vec<String>> {
    bench.idle(SETTLE_MS).await;
    let rows = bench.cluster.platform.rows("partition");
    let second = &bench.cluster.instances[1].id;
    let mut owned = Vec::new();
    for program in programs {
        let id: basilramp_core::id::Program = program.parse()?;
        let sort = format!("{:04}", id.partition().0);
        let row = rows.iter().find(|(key, _)| *key == sort);
        let (_, row) = row.ok_or_else(|| eyre!("no row of partition {sort}"))?;
        let record: basilramp_wire::record::Partition = serde_json::from_str(&row.body)?;
        if record.owner == *second {
            owned.push(program.clone());
        }
    }
    Ok(owned)
}

/// Measures one instance that is the home of all upstreams.
pub(crate) async fn upstreams() -> Result<Vec<Series>> {
    let mut memory = Series::new("MB of the one instance", "upstreams homed there");
    let mut cpu = Series::new("% of a core of the one instance", "upstreams homed there");
    let bench = Bench::start(1).await?;
    let address = bench.cluster.engines[0].address();
    let mut existing = 1;
    for count in [28, 112, 390, 800] {
        for number in existing..count {
            bench.cluster.platform.put_endpoint(Entry {
                name: format!("more-{number}"),
                role: Role::Engine,
                address,
                failure_domain: "a".to_owned(),
                place: "place-a".to_owned(),
                group: String::new(),
                state: State::Ready,
            });
        }
        existing = count;
        bench.idle(SETTLE_MS).await;
        let before = bench.sample()?;
        bench.idle(OBSERVATION_MS).await;
        let after = bench.sample()?;
        cpu.add(
            count,
            after.cpu_since(&before) / OBSERVATION_MS as f64 * 100.0,
        );
        memory.add(count, usage::memory_mb(bench.process(0)?)?);
    }
    Ok(vec![memory, cpu])
}

/// Measures configuration changes that one instance applies and another follows.
pub(crate) async fn changes() -> Result<Vec<Series>> {
    let mut follower = Series::new("ms of processor time of a follower", "changes");
    let mut reads = Series::new("store reads of both instances", "changes");
    let mut lag = Series::new("ms until in force at the follower, worst", "changes");
    let bench = Bench::start(2).await?;
    bench.idle(SETTLE_MS).await;
    for count in [25, 50, 100, 200] {
        let before = bench.sample()?;
        let mut worst = 0.0_f64;
        for _ in 0..count {
            worst = worst.max(apply_change(&bench).await?);
        }
        let after = bench.sample()?;
        follower.add(count, after.cpu_ms[1] - before.cpu_ms[1]);
        reads.add(count, after.reads_since(&before));
        lag.add(count, worst);
    }
    Ok(vec![follower, reads, lag])
}

/// Applies one change and returns the milliseconds until it is active on the follower.
async fn apply_change(bench: &Bench) -> Result<f64> {
    let operator = bench.cluster.operator(0);
    let operators = |index: usize| {
        let address = bench.cluster.operator_address(index);
        address.ok_or_else(|| eyre!("instance {index} is not running"))
    };
    let (first, second) = (operators(0)?, operators(1)?);
    let to_report = |failure| eyre!("a change failed: {failure:?}");
    let base = operator.get_config(first).await.map_err(to_report)?.version;
    let edits = vec![set_item("spare", model_service("base", "1", 60_000 + base))];
    operator
        .apply_edits(first, base, edits)
        .await
        .map_err(to_report)?;
    let applied = Instant::now();
    while operator
        .get_config(second)
        .await
        .map_err(to_report)?
        .version
        <= base
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(applied.elapsed().as_secs_f64() * MS_PER_S)
}

/// Measures the takeover after the loss of some of twelve instances.
pub(crate) async fn takeover() -> Result<Vec<Series>> {
    let mut reads = Series::new("store reads over ten seconds", "instances lost of 12");
    let mut writes = Series::new("store writes over ten seconds", "instances lost of 12");
    let mut took = Series::new(
        "ms until every partition has an owner",
        "instances lost of 12",
    );
    for lost in [0, 1, 2, 4] {
        let mut bench = Bench::start(12).await?;
        bench.add_programs(0..200, 100).await?;
        bench.idle(SETTLE_MS).await;
        for index in 0..lost {
            bench.cluster.kill(index)?;
        }
        let killed = Instant::now();
        let before = bench.sample()?;
        let lost_ids: Vec<String> = (0..lost)
            .map(|index| bench.cluster.instances[index].id.clone())
            .collect();
        while owns_any(&bench, &lost_ids)? {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let recovered = killed.elapsed();
        let rest = Duration::from_millis(OBSERVATION_MS).saturating_sub(recovered);
        tokio::time::sleep(rest).await;
        let after = bench.sample()?;
        reads.add(lost, after.reads_since(&before));
        writes.add(lost, after.writes_since(&before));
        took.add(lost, recovered.as_secs_f64() * MS_PER_S);
    }
    Ok(vec![reads, writes, took])
}

/// Returns whether a lost instance still owns a partition, according to the table.
fn owns_any(bench: &Bench, lost_ids: &[String]) -> Result<bool> {
    for (_, row) in bench.cluster.platform.rows("partition") {
        let record: basilramp_wire::record::Partition = serde_json::from_str(&row.body)?;
        if lost_ids.contains(&record.owner) {
            return Ok(true);
        }
    }
    Ok(false)
}
