//! A background task that panics is started again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use basilramp_process::supervisor;

#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let mut reports = Vec::new();
    let start = || {
        let starts = Arc::clone(&starts);
        async move {
            let number = starts.fetch_add(1, Ordering::Relaxed);
            assert!(number >= 2, "malformed row {number}");
        }
    };
    supervisor::run(start, |report| reports.push(report.to_owned())).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    assert_eq!(reports.len(), 2);
    assert!(reports[0].contains("malformed row 0"), "{reports:?}");
}
