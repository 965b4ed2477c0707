//! Releases the prefixes that engines cache for ended programs.

use std::time::Duration;

use basilramp_core::upstream::{Listing, Role};
use tokio::time::sleep;

use crate::engine_control::Client;
use crate::log::{self, Event, event};

const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Attempts to release a prefix; after that, [`crate::orphan_sweep`] releases it.
const MAX_ATTEMPTS: u32 = 6;

/// Makes an engine release the prefix that it caches for a program, with retries.
///
/// Does nothing for a plain service, which has no cache.
pub(crate) async fn release_with_retries(
    client: Client,
    listing: Listing,
    program: String,
    log: log::Handle,
) {
    if listing.role != Role::Engine {
        return;
    }
    for _ in 0..MAX_ATTEMPTS {
        if client
            .release_holder(listing.address, &program)
            .await
            .is_ok()
        {
            event!(log, Event::Released,
                "upstream" => listing.id.to_string(), "program" => program);
            return;
        }
        sleep(RETRY_DELAY).await;
    }
    event!(log, Event::ReleaseFailed,
        "upstream" => listing.id.to_string(), "program" => program);
}
