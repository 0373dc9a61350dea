//! A caller of a router, as a customer's program would be.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::{Value, json};
use thistlesill_core::error::ErrorBody;
use thistlesill_net::http::{HttpClient, HttpError, build_request, read_body};

/// Time for a whole answer.
const LIMIT: Duration = Duration::from_secs(60);

/// How an answer is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// As a stream.
    Streamed,
    /// Whole.
    Whole,
}

/// An error answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status; 200 for an error within a stream.
    pub status: u16,
    /// Its body.
    pub body: ErrorBody,
}

/// Why a caller has no whole answer.
#[derive(Debug)]
pub enum CallerError {
    /// The router answered with an error.
    Answered(ErrorAnswer),
    /// The connection failed.
    Lost(HttpError),
    /// The stream ended too early; what came, and the last event's id.
    Broken(Box<ChatAnswer>),
}

impl CallerError {
    /// The error's answer, if there is one.
    pub const fn answer(&self) -> Option<&ErrorAnswer> {
        match self {
            Self::Answered(answer) => Some(answer),
            _ => None,
        }
    }
}

/// An answer to a chat request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChatAnswer {
    /// The request's id.
    pub request: String,
    /// The text.
    pub text: String,
    /// Pieces that came.
    pub pieces: u32,
    /// The id of the last event.
    pub last_id: String,
    /// Time to the first piece.
    pub first: Duration,
    /// Time to the end.
    pub took: Duration,
}

/// A caller.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    token: String,
    http: HttpClient,
    headers: Vec<(String, String)>,
    stop_after: Option<u32>,
}

impl Caller {
    /// A caller of a router.
    pub fn new(address: SocketAddr, token: String) -> Self {
        Self {
            address,
            token,
            http: HttpClient::fresh(),
            headers: Vec::new(),
            stop_after: None,
        }
    }

    /// The same caller with a header on every request.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same caller with connections that are used again.
    #[must_use]
    pub fn pooled(mut self) -> Self {
        self.http = HttpClient::pooled();
        self
    }

    /// The same caller, which goes away after so many pieces.
    #[must_use]
    pub const fn stop_after(mut self, pieces: u32) -> Self {
        self.stop_after = Some(pieces);
        self
    }

    /// Asks for a chat completion.
    ///
    /// # Errors
    ///
    /// A [`CallerError`] unless the answer is whole.
    pub async fn chat(
        &self,
        kind: Kind,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<ChatAnswer, CallerError> {
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": kind == Kind::Streamed,
        });
        let begun = Instant::now();
        let response = self.post("/v1/chat/completions", body.to_string()).await?;
        let request = response
            .headers()
            .get("x-request-id")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let answer = ChatAnswer {
            request,
            ..ChatAnswer::default()
        };
        match kind {
            Kind::Streamed => self.read_stream(response, answer, begun).await,
            Kind::Whole => read_whole(response, answer, begun).await,
        }
    }

    /// Calls a plain service; returns status and body.
    ///
    /// # Errors
    ///
    /// A [`CallerError`] for an error answer or a lost connection.
    pub async fn plain(
        &self,
        service: &str,
        path: &str,
        body: &str,
    ) -> Result<String, CallerError> {
        let path = format!("/services/{service}/{path}");
        let response = self.post(&path, body.to_owned()).await?;
        let bytes = read_body(response.into_body()).await;
        let bytes = bytes.map_err(CallerError::Lost)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Gets a path; returns its JSON.
    ///
    /// # Errors
    ///
    /// A [`CallerError`] for an error answer or a lost connection.
    pub async fn get(&self, path: &str) -> Result<Value, CallerError> {
        let head = Request::get(format!("http://{}{path}", self.address));
        let response = self.call(head, Bytes::new()).await?;
        let bytes = read_body(response.into_body()).await;
        let bytes = bytes.map_err(CallerError::Lost)?;
        Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }

    /// Posts a body as it is.
    ///
    /// # Errors
    ///
    /// A [`CallerError`] for an error answer or a lost connection.
    pub async fn post(
        &self,
        path: &str,
        body: String,
    ) -> Result<hyper::Response<hyper::body::Incoming>, CallerError> {
        let head = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json");
        self.call(head, Bytes::from(body)).await
    }

    async fn call(
        &self,
        head: hyper::http::request::Builder,
        body: Bytes,
    ) -> Result<hyper::Response<hyper::body::Incoming>, CallerError> {
        let mut head = head.header("authorization", format!("Bearer {}", self.token));
        for (name, value) in &self.headers {
            head = head.header(name, value);
        }
        let request = build_request(head, body).map_err(CallerError::Lost)?;
        let sent = self.http.send(request, LIMIT).await;
        let response = sent.map_err(CallerError::Lost)?;
        let status = response.status().as_u16();
        if response.status().is_success() {
            return Ok(response);
        }
        let bytes = read_body(response.into_body()).await;
        let bytes = bytes.map_err(CallerError::Lost)?;
        match serde_json::from_slice(&bytes) {
            Ok(body) => Err(CallerError::Answered(ErrorAnswer { status, body })),
            Err(_) => Err(CallerError::Lost(HttpError::Status {
                status,
                body: String::from_utf8_lossy(&bytes).into_owned(),
            })),
        }
    }

    async fn read_stream(
        &self,
        response: hyper::Response<hyper::body::Incoming>,
        mut answer: ChatAnswer,
        begun: Instant,
    ) -> Result<ChatAnswer, CallerError> {
        let mut events = response.into_body().into_data_stream().eventsource();
        while let Some(Ok(event)) = events.next().await {
            if event.event == "error" {
                let body = serde_json::from_str(&event.data);
                return Err(match body {
                    Ok(body) => CallerError::Answered(ErrorAnswer { status: 200, body }),
                    Err(_) => CallerError::Broken(Box::new(answer)),
                });
            }
            if event.data == "[DONE]" {
                answer.took = begun.elapsed();
                return Ok(answer);
            }
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() else {
                continue;
            };
            if answer.pieces == 0 {
                answer.first = begun.elapsed();
            }
            answer.pieces += 1;
            answer.text.push_str(text);
            answer.last_id = event.id;
            if self.stop_after == Some(answer.pieces) {
                break;
            }
        }
        Err(CallerError::Broken(Box::new(answer)))
    }
}

async fn read_whole(
    response: hyper::Response<hyper::body::Incoming>,
    mut answer: ChatAnswer,
    begun: Instant,
) -> Result<ChatAnswer, CallerError> {
    let bytes = read_body(response.into_body()).await;
    let bytes = bytes.map_err(CallerError::Lost)?;
    let whole: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let text = whole["choices"][0]["message"]["content"].as_str();
    text.unwrap_or_default().clone_into(&mut answer.text);
    answer.took = begun.elapsed();
    answer.first = answer.took;
    Ok(answer)
}
