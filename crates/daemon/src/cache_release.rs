//! Has upstreams let go of what they hold for programs that have ended.

use std::time::Duration;

use basilramp_core::upstream::{Listing, Role};
use tokio::time::sleep;

use crate::engine_control::Client;
use crate::log::{self, Event, event};

/// Time between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Tries; what still fails is left to the sweep.
const MAX_ATTEMPTS: u32 = 6;

/// Has an engine let go of what it holds for a program.
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
