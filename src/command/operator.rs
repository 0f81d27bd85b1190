//! HTTP client for the operator port of an entry.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;

/// Longest wait for the head of a response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A client for the operator port of one entry.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Base URL of the port, such as `http://10.0.0.7:8081`.
    pub url: String,
    /// The operator's bearer token.
    pub token: String,
}

impl OperatorClient {
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
    /// Fails when the entry cannot be reached or rejects the request. The error names
    /// the URL and has the text of the response.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes> {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let req = Request::get(format!("{}{path}", self.url))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(Full::default())
            .map_err(|e| self.error(path, e.to_string()))?;
        let result = tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, client.request(req))
            .await
            .map_err(|_| self.error(path, "no response in time".into()))?;
        let res = result.map_err(|e| self.error(path, e.to_string()))?;
        let status = res.status();
        let body = res
            .into_body()
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
