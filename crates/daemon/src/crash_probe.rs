//! Probes an upstream after a connection was lost, to detect whether the upstream crashed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::engine_control::Client;

/// Number of checks; the upstream counts as crashed if any of them indicates a crash.
const MAX_CHECKS: u32 = 3;

/// Time between two checks: a crashing process may still accept connections until its listener is
/// closed, which happens within this time.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks whether an upstream crashed, by its role.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CrashProbe {
    /// An engine reports its epoch, which increases at each start.
    Engine {
        /// Address of the upstream.
        address: SocketAddr,
        /// Epoch of the engine when the call was sent, if known.
        epoch: Option<u64>,
    },
    /// A plain service counts as crashed if it accepts no connection.
    Service {
        /// Address of the upstream.
        address: SocketAddr,
    },
}

impl CrashProbe {
    /// Returns whether the upstream may have crashed.
    ///
    /// Only an engine that reports the same epoch as before has certainly not crashed.
    pub(crate) async fn may_have_crashed(self, client: &Client) -> bool {
        for _ in 0..MAX_CHECKS {
            if self.check_once(client).await {
                return true;
            }
            sleep(CHECK_INTERVAL).await;
        }
        false
    }

    async fn check_once(self, client: &Client) -> bool {
        match self {
            Self::Engine { address, epoch } => {
                let load = client.fetch_load(address).await;
                !load.is_ok_and(|load| Some(load.epoch) == epoch)
            }
            Self::Service { address } => {
                let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                !matches!(connected, Ok(Ok(_)))
            }
        }
    }
}
