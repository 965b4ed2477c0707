//! CPU time and memory of a process, from `/proc`.

use std::fs;

use eyre::{Result, eyre};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Kilobytes in a megabyte.
const KB_PER_MB: f64 = 1_024.0;

/// Returns the CPU time that a process has used, in milliseconds.
pub(crate) fn cpu_ms(process: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after_name = text.rsplit_once(") ").map(|(_, rest)| rest);
    let fields: Vec<&str> = after_name.unwrap_or("").split(' ').collect();
    let ticks = |index: usize| -> Result<f64> {
        let field = fields.get(index).ok_or_else(|| eyre!("short stat line"))?;
        Ok(field.parse()?)
    };
    // User and system time are fields 14 and 15 of the line; index 0 is field 3, the state.
    let total = ticks(11)? + ticks(12)?;
    Ok(total * 1_000.0 / TICKS_PER_S)
}

/// Returns the resident memory of a process, in megabytes.
pub(crate) fn memory_mb(process: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    let kb: f64 = kb.ok_or_else(|| eyre!("no VmRSS"))?.parse()?;
    Ok(kb / KB_PER_MB)
}
