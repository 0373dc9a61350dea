//! An HTTP client over `hyper`, with limits on time and size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// The largest response body that is read into memory.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an unused connection is kept. A connection that stops working while unused costs the
/// next call its whole timeout; calls that come more often than this show that theirs works.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a call has no usable answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// Nothing was sent, because no connection was made or the request is malformed.
    #[snafu(display("no connection: {text}"))]
    Unsent {
        /// The cause.
        text: String,
    },
    /// The connection was lost after sending began, or no complete answer came in time: the call
    /// may have taken effect.
    #[snafu(display("no answer: {text}"))]
    Lost {
        /// The cause.
        text: String,
    },
    /// The answer's status is not 200.
    #[snafu(display("status {status}: {body}"))]
    Status {
        /// The status code.
        status: u16,
        /// The body as text.
        body: String,
    },
    /// The answer could not be decoded, or the request body not be encoded.
    #[snafu(display("malformed answer: {text}"))]
    Malformed {
        /// The cause.
        text: String,
    },
}

/// An HTTP/1.1 client that never retries a request.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps connections for reuse.
    pub fn pooled() -> Self {
        Self::build(16)
    }

    /// Creates a client that opens a connection for every call, so that a call is never sent on a
    /// connection that the server is closing.
    pub fn fresh() -> Self {
        Self::build(0)
    }

    fn build(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response, whose body is not read yet.
    ///
    /// # Errors
    ///
    /// [`HttpError::Unsent`] if no connection was made, else
    /// [`HttpError::Lost`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let answer = tokio::time::timeout(limit, self.inner.request(request)).await;
        match answer {
            Err(_) => Err(HttpError::Lost {
                text: "timed out".to_owned(),
            }),
            Ok(Err(e)) if e.is_connect() => Err(HttpError::Unsent {
                text: e.to_string(),
            }),
            Ok(Err(e)) => Err(HttpError::Lost {
                text: e.to_string(),
            }),
            Ok(Ok(response)) if !is_final_status(response.status()) => Err(HttpError::Lost {
                text: format!("no answer has the status {}", response.status().as_u16()),
            }),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], and [`HttpError::Lost`] if the body breaks off or exceeds 64 MiB.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let read = async {
            let (head, body) = self.send(request, limit).await?.into_parts();
            let bytes = read_body(body).await?;
            Ok(Response::from_parts(head, bytes))
        };
        match tokio::time::timeout(limit, read).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Lost {
                text: "timed out".to_owned(),
            }),
        }
    }

    /// Requests a path with `GET` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let request = Request::get(format!("http://{address}{path}"));
        decode(
            &self
                .call(build_request(request, Bytes::new())?, limit)
                .await?,
        )
    }

    /// Sends a JSON value with `POST` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        decode(
            &self
                .call(build_request(request, encode(body)?)?, limit)
                .await?,
        )
    }
}

/// Returns whether an answer may have a status. HTTP knows none from 600 on, and those below 200 precede
/// an answer; 101 ends in another protocol, which no request of ours asks for.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Encodes a value as JSON.
///
/// # Errors
///
/// [`HttpError::Malformed`] if the value does not encode.
pub fn encode<B: Serialize>(body: &B) -> Result<Bytes, HttpError> {
    let bytes = serde_json::to_vec(body).map_err(|e| HttpError::Malformed {
        text: e.to_string(),
    })?;
    Ok(Bytes::from(bytes))
}

/// Builds a request from its head and body.
///
/// # Errors
///
/// [`HttpError::Unsent`] if the head is malformed.
pub fn build_request(
    head: hyper::http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    head.body(Full::new(body)).map_err(|e| HttpError::Unsent {
        text: e.to_string(),
    })
}

/// Decodes the JSON body of a response with status 200.
///
/// # Errors
///
/// [`HttpError::Status`] for another status, [`HttpError::Malformed`] if the body does not decode.
pub fn decode<T: DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, HttpError> {
    if answer.status() != StatusCode::OK {
        return Err(HttpError::Status {
            status: answer.status().as_u16(),
            body: String::from_utf8_lossy(answer.body()).into_owned(),
        });
    }
    serde_json::from_slice(answer.body()).map_err(|e| HttpError::Malformed {
        text: e.to_string(),
    })
}

/// Reads a complete body.
///
/// # Errors
///
/// [`HttpError::Lost`] if the body breaks off or exceeds 64 MiB.
pub async fn read_body(body: Incoming) -> Result<Bytes, HttpError> {
    let read = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    read.map(http_body_util::Collected::to_bytes)
        .map_err(|e| HttpError::Lost {
            text: e.to_string(),
        })
}
