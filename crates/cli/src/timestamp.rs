//! Formatting of timestamps.

const MS_PER_DAY: u64 = 24 * 60 * 60 * 1_000;

/// Formats milliseconds since the Unix epoch as a UTC time, such as `2026-12-04T06:00:00Z`.
pub(crate) fn format_utc(unix_ms: u64) -> String {
    let (year, month, day) = civil_date(unix_ms / MS_PER_DAY);
    let seconds = unix_ms % MS_PER_DAY / 1_000;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns the year, month and day of a number of days since 1 January 1970.
///
/// Uses Howard Hinnant's `civil_from_days` ("chrono-Compatible Low-Level Date Algorithms"), which
/// counts days in 400-year eras whose years begin on 1 March.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
