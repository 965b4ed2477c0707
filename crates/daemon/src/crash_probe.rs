//! Tells an upstream that crashed from a connection that broke.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::engine_control::Client;

/// Looks at an upstream; it counts as crashed if any of them says so.
const MAX_CHECKS: u32 = 3;

/// Time between two looks, within which a process that crashed has closed its listener.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What tells whether an upstream crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CrashProbe {
    /// An engine tells its epoch, which is raised at each start.
    Engine {
        /// Where it listens.
        address: SocketAddr,
        /// The epoch under which the call was sent, if known.
        epoch: Option<u64>,
    },
    /// A plain service takes connections or does not.
    Service {
        /// Where it listens.
        address: SocketAddr,
    },
}

impl CrashProbe {
    /// Tells whether the upstream may have crashed.
    ///
    /// Only an engine that tells the same epoch as before has certainly not.
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
