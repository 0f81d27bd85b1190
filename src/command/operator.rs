//! How a command reaches an entry's operators' port.

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

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An entry's operators' port and the token for it.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Address of the port, such as `http://10.0.0.7:8081`.
    pub url: String,
    /// The operator's token.
    pub token: String,
}

impl OperatorClient {
    /// Asks for a document.
    ///
    /// # Errors
    ///
    /// Names what was asked and what the entry said.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let body = self.get_bytes(path).await?;
        serde_json::from_slice(&body).map_err(|e| self.error(path, e.to_string()))
    }

    /// Asks for bytes.
    ///
    /// # Errors
    ///
    /// Names what was asked and what the entry said.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes> {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let req = Request::get(format!("{}{path}", self.url))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(Full::default())
            .map_err(|e| self.error(path, e.to_string()))?;
        let answered = tokio::time::timeout(TIMEOUT, client.request(req))
            .await
            .map_err(|_| self.error(path, "no answer in time".into()))?;
        let res = answered.map_err(|e| self.error(path, e.to_string()))?;
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
