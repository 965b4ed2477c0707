//! Client of the platform's list of endpoints.

use std::net::SocketAddr;

use ::http::{Request, StatusCode};
use basilramp_wire::endpoints::EndpointSliceList;
use bytes::Bytes;
use http_body_util::Full;

use crate::http::Pool;

/// URL path of the list.
pub const PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";

const TIMEOUT_MS: u64 = 2_000;

/// The list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

impl std::fmt::Display for Unavailable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the list of endpoints is unavailable")
    }
}

impl std::error::Error for Unavailable {}

/// Client of the endpoint list.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(),
            address,
        }
    }

    /// Fetches the whole list.
    ///
    /// # Errors
    ///
    /// Fails if no valid list arrives within two seconds.
    pub async fn fetch(&self) -> Result<EndpointSliceList, Unavailable> {
        let request = Request::get(format!("http://{}{PATH}", self.address))
            .body(Full::new(Bytes::new()))
            .map_err(|_| Unavailable)?;
        let response = self.pool.send(request, TIMEOUT_MS).await;
        let response = response.map_err(|_| Unavailable)?;
        if response.status != StatusCode::OK {
            return Err(Unavailable);
        }
        serde_json::from_slice(&response.body).map_err(|_| Unavailable)
    }
}
