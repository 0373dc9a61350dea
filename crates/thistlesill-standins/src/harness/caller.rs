//! HTTP client of a router, as a customer's program would use one.

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

/// Time within which the router must begin its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// How the router sends an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
    /// As a stream of events.
    Streamed,
    /// As one JSON body.
    Complete,
}

/// An error answer of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status; 200 for an error event within a stream.
    pub status: u16,
    /// Body that describes the error.
    pub body: ErrorBody,
}

/// Why a caller has no complete answer.
#[derive(Debug)]
pub enum CallerError {
    /// The router answered with an error.
    Answered(ErrorAnswer),
    /// The connection failed, or the answer was no valid error body.
    Connection(HttpError),
    /// The stream ended too early; holds what was received.
    Incomplete(Box<ChatAnswer>),
}

impl CallerError {
    /// Returns the router's error answer, if it sent one.
    pub const fn answer(&self) -> Option<&ErrorAnswer> {
        match self {
            Self::Answered(answer) => Some(answer),
            _ => None,
        }
    }
}

/// The answer to a chat request, as far as it was received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChatAnswer {
    /// The request's id, from the header `x-request-id`.
    pub request: String,
    /// The text of all pieces.
    pub text: String,
    /// Number of pieces received; 0 unless the answer was streamed.
    pub pieces: u32,
    /// Id of the last event with text, for a resumption.
    pub last_id: String,
    /// Time to the first piece, or to the end unless the answer was streamed.
    pub first_piece: Duration,
    /// Time to the end of the answer; zero if the answer is incomplete.
    pub elapsed: Duration,
}

/// A caller of one router with a customer's token.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    token: String,
    http: HttpClient,
    headers: Vec<(String, String)>,
    disconnect_after: Option<u32>,
}

impl Caller {
    /// Creates a caller that opens a connection for each request.
    pub fn new(address: SocketAddr, token: String) -> Self {
        Self {
            address,
            token,
            http: HttpClient::fresh(),
            headers: Vec::new(),
            disconnect_after: None,
        }
    }

    /// Adds a header to every request.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Reuses connections instead of opening one for each request.
    #[must_use]
    pub fn with_reused_connections(mut self) -> Self {
        self.http = HttpClient::pooled();
        self
    }

    /// Disconnects from a stream after a number of pieces.
    #[must_use]
    pub const fn disconnect_after(mut self, pieces: u32) -> Self {
        self.disconnect_after = Some(pieces);
        self
    }

    /// Requests a chat completion of at most `tokens` tokens.
    ///
    /// # Errors
    ///
    /// A [`CallerError`] unless the answer is complete.
    pub async fn chat(
        &self,
        mode: AnswerMode,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<ChatAnswer, CallerError> {
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": mode == AnswerMode::Streamed,
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
        match mode {
            AnswerMode::Streamed => self.read_stream(response, answer, begun).await,
            AnswerMode::Complete => read_complete(response, answer, begun).await,
        }
    }

    /// Calls a plain service and returns the body of its answer.
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
        let bytes = bytes.map_err(CallerError::Connection)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a GET request and returns the JSON of the answer; `Null` if the body is not JSON.
    ///
    /// # Errors
    ///
    /// A [`CallerError`] for an error answer or a lost connection.
    pub async fn get(&self, path: &str) -> Result<Value, CallerError> {
        let head = Request::get(format!("http://{}{path}", self.address));
        let response = self.call(head, Bytes::new()).await?;
        let bytes = read_body(response.into_body()).await;
        let bytes = bytes.map_err(CallerError::Connection)?;
        Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }

    /// Sends a POST request with a body of JSON and returns the answer with its body unread.
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
        let request = build_request(head, body).map_err(CallerError::Connection)?;
        let sent = self.http.send(request, ANSWER_TIMEOUT).await;
        let response = sent.map_err(CallerError::Connection)?;
        let status = response.status().as_u16();
        if response.status().is_success() {
            return Ok(response);
        }
        let bytes = read_body(response.into_body()).await;
        let bytes = bytes.map_err(CallerError::Connection)?;
        match serde_json::from_slice(&bytes) {
            Ok(body) => Err(CallerError::Answered(ErrorAnswer { status, body })),
            Err(_) => Err(CallerError::Connection(HttpError::Status {
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
                    Err(_) => CallerError::Incomplete(Box::new(answer)),
                });
            }
            if event.data == "[DONE]" {
                answer.elapsed = begun.elapsed();
                return Ok(answer);
            }
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() else {
                continue;
            };
            if answer.pieces == 0 {
                answer.first_piece = begun.elapsed();
            }
            answer.pieces += 1;
            answer.text.push_str(text);
            answer.last_id = event.id;
            if self.disconnect_after == Some(answer.pieces) {
                break;
            }
        }
        Err(CallerError::Incomplete(Box::new(answer)))
    }
}

async fn read_complete(
    response: hyper::Response<hyper::body::Incoming>,
    mut answer: ChatAnswer,
    begun: Instant,
) -> Result<ChatAnswer, CallerError> {
    let bytes = read_body(response.into_body()).await;
    let bytes = bytes.map_err(CallerError::Connection)?;
    let completion: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let text = completion["choices"][0]["message"]["content"].as_str();
    text.unwrap_or_default().clone_into(&mut answer.text);
    answer.elapsed = begun.elapsed();
    answer.first_piece = answer.elapsed;
    Ok(answer)
}
