//! A small HTTP client over `hyper`, with limits on time and size.

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

/// Bytes of an answer that is read whole, at most.
const MAX_ANSWER: usize = 64 << 20;
/// Time for connecting.
const CONNECT: Duration = Duration::from_millis(1_000);

/// How long an unused connection is kept. One that falls silent meanwhile costs
/// the next call its whole time-out; calls that come more often than this show
/// that theirs works.
const KEEP: Duration = Duration::from_secs(1);

/// Why a call brought no usable answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// No connection was made: nothing was sent.
    #[snafu(display("no connection: {text}"))]
    Unsent {
        /// The cause.
        text: String,
    },
    /// The connection was lost after sending began, or no answer came in
    /// time: the call may have taken effect.
    #[snafu(display("no answer: {text}"))]
    Lost {
        /// The cause.
        text: String,
    },
    /// The answer has another status than expected.
    #[snafu(display("status {status}: {body}"))]
    Status {
        /// The status.
        status: u16,
        /// The body's text.
        body: String,
    },
    /// The answer could not be decoded.
    #[snafu(display("malformed answer: {text}"))]
    Malformed {
        /// The cause.
        text: String,
    },
}

/// An HTTP client.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client that keeps connections for reuse.
    pub fn pooled() -> Self {
        Self::build(16)
    }

    /// A client that opens a connection for every call, so that a call never
    /// meets a connection that the other side is closing.
    pub fn fresh() -> Self {
        Self::build(0)
    }

    fn build(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(KEEP)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the answer's head with its open body.
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
                text: "time is up".to_owned(),
            }),
            Ok(Err(e)) if e.is_connect() => Err(HttpError::Unsent {
                text: e.to_string(),
            }),
            Ok(Err(e)) => Err(HttpError::Lost {
                text: e.to_string(),
            }),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], and [`HttpError::Lost`] if the body breaks
    /// off or is too large.
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
                text: "time is up".to_owned(),
            }),
        }
    }

    /// Gets a JSON value.
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

    /// Posts a JSON value and reads one back.
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

/// Encodes a value as JSON.
///
/// # Errors
///
/// [`HttpError::Malformed`] if it does not encode.
pub fn encode<B: Serialize>(body: &B) -> Result<Bytes, HttpError> {
    let bytes = serde_json::to_vec(body).map_err(|e| HttpError::Malformed {
        text: e.to_string(),
    })?;
    Ok(Bytes::from(bytes))
}

/// Closes a request's head with a body.
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

/// Decodes an answer of status 200.
///
/// # Errors
///
/// [`HttpError::Status`] or [`HttpError::Malformed`].
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

/// Reads a whole body.
///
/// # Errors
///
/// [`HttpError::Lost`] if it breaks off or is too large.
pub async fn read_body(body: Incoming) -> Result<Bytes, HttpError> {
    let read = Limited::new(body, MAX_ANSWER).collect().await;
    read.map(http_body_util::Collected::to_bytes)
        .map_err(|e| HttpError::Lost {
            text: e.to_string(),
        })
}
