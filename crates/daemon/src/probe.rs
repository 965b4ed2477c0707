//! Tells an upstream that crashed from a connection that broke.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Looks at an upstream; it is down if any of them fails.
const LOOKS: u32 = 3;

/// Time between two looks, within which a process that crashed has closed its listener.
const PAUSE: Duration = Duration::from_millis(30);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells whether an upstream takes no connections shortly after one of them broke.
pub(crate) async fn is_down(address: SocketAddr) -> bool {
    for _ in 0..LOOKS {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if !matches!(connected, Ok(Ok(_))) {
            return true;
        }
        sleep(PAUSE).await;
    }
    false
}
