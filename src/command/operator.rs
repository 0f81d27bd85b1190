//! HTTP client for the operator port of an entry.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;

/// Longest time of a fetch, unless set otherwise.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest document that is read, in bytes.
const MAX_DOCUMENT_BYTES: usize = 64 * 1024 * 1024;
/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A client for the operator port of one entry.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Base URL of the port, such as `http://10.0.0.7:8081`.
    url: String,
    /// The operator's bearer token.
    token: String,
    /// Longest time of a fetch, from its start to the last byte.
    timeout: Duration,
}

impl OperatorClient {
    /// Returns a client for the operator port at a base URL, such as
    /// `http://10.0.0.7:8081`, with a bearer token.
    pub fn new(url: &str, token: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_string(),
            token: token.trim().to_string(),
            timeout: FETCH_TIMEOUT,
        }
    }

    /// Sets the longest time of a fetch, which is 30 s otherwise.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached, rejects the request or sends a document
    /// of another form. The error names the URL.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let body = self.get_bytes(path).await?;
        serde_json::from_slice(&body).map_err(|e| self.error(path, e.to_string()))
    }

    /// Fetches the body of a response.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached, rejects the request, or sends too much or
    /// too slowly. The error names the URL and has the text of the response.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes> {
        tokio::time::timeout(self.timeout, self.fetch(path))
            .await
            .map_err(|_| self.error(path, "no complete response in time".into()))?
    }

    async fn fetch(&self, path: &str) -> Result<Bytes> {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build_http();
        let req = Request::get(format!("{}{path}", self.url))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(Full::default())
            .map_err(|e| self.error(path, e.to_string()))?;
        let res = client
            .request(req)
            .await
            .map_err(|e| self.error(path, e.to_string()))?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_DOCUMENT_BYTES)
            .collect()
            .await
            .map_err(|e| self.error(path, e.to_string()))?
            .to_bytes();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body).trim().to_string();
            return Err(self.error(path, format!("{status}: {text}")));
        }
        Ok(body)
    }

    fn error(&self, path: &str, message: String) -> Error {
        Error::Operator {
            url: format!("{}{path}", self.url),
            message,
        }
    }
}
