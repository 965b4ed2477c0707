//! Client of the object store: a subset of the S3 REST API.

use std::net::SocketAddr;
use std::sync::Arc;

use ::http::{Method, Request, StatusCode};
use bytes::Bytes;
use http_body_util::Full;

use crate::http::{Answer, Pool};

const TIMEOUT_MS: u64 = 10_000;

/// The operation failed; a write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

impl std::fmt::Display for Unavailable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the object store is unavailable")
    }
}

impl std::error::Error for Unavailable {}

/// Reads and writes the objects of one bucket.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
    bucket: Arc<str>,
}

impl Client {
    /// Opens a client; connections are made when they are needed.
    pub fn open(address: SocketAddr, bucket: impl Into<Arc<str>>) -> Self {
        Self {
            pool: Pool::open(),
            address,
            bucket: bucket.into(),
        }
    }

    /// Writes an object; writing the same one again is harmless.
    ///
    /// `key` holds only characters that need no escape in a path.
    ///
    /// # Errors
    ///
    /// Fails if no answer came in time, or a refusal.
    pub async fn put(&self, key: &str, bytes: Bytes) -> Result<(), Unavailable> {
        let answer = self.send(Method::PUT, key, bytes).await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            Err(Unavailable)
        }
    }

    /// Reads an object, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if no answer came in time, or a refusal.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, Unavailable> {
        let answer = self.send(Method::GET, key, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Unavailable),
        }
    }

    /// Deletes an object; deleting one that is not there is harmless.
    ///
    /// # Errors
    ///
    /// Fails if no answer came in time, or a refusal.
    pub async fn delete(&self, key: &str) -> Result<(), Unavailable> {
        let answer = self.send(Method::DELETE, key, Bytes::new()).await?;
        if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            Err(Unavailable)
        }
    }

    async fn send(&self, method: Method, key: &str, bytes: Bytes) -> Result<Answer, Unavailable> {
        let uri = format!("http://{}/{}/{key}", self.address, self.bucket);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(bytes))
            .map_err(|_| Unavailable)?;
        let answer = self.pool.send(request, TIMEOUT_MS).await;
        answer.map_err(|_| Unavailable)
    }
}
