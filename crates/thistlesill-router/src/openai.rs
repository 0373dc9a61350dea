//! Requests and answers of the `OpenAI` completion protocol.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use snafu::Snafu;
use thistlesill_core::{Model, RequestId};

/// Number of bytes of the first prompt text that are hashed as its prefix.
const PREFIX_BYTES: usize = 64;

/// Completion protocol of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Dialect {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Dialect {
    /// Returns the URL path of the protocol.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// Reason why a completion request is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text}"))]
pub struct BadCompletion {
    /// Description of the problem, for the caller.
    pub text: String,
}

/// A parsed and validated completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// Protocol in which the caller is answered.
    pub dialect: Dialect,
    /// Requested model.
    pub model: Model,
    /// Whether the caller asked for a stream.
    pub streamed: bool,
    /// Hash of the beginning of the prompt; `None` for an empty prompt.
    pub prefix: Option<u64>,
    body: Map<String, Value>,
}

/// Parses a completion request.
///
/// # Errors
///
/// [`BadCompletion`] if the body is not a JSON object, or if a required field is missing or of the
/// wrong type.
pub fn parse(dialect: Dialect, bytes: &[u8]) -> Result<Completion, BadCompletion> {
    let body: Map<String, Value> =
        serde_json::from_slice(bytes).map_err(|e| bad(format!("not a JSON object: {e}")))?;
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| bad("`model` must be a string"))?;
    let streamed = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("`stream` must be true or false")),
    };
    let prompt = prompt(dialect, &body)?;
    Ok(Completion {
        dialect,
        model: Model::from(model),
        streamed,
        prefix: (!prompt.is_empty()).then(|| prefix_hash(&prompt)),
        body,
    })
}

impl Completion {
    /// Returns the request body for an engine, which always streams.
    pub fn engine_body(&self) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), Value::Bool(true));
        to_bytes(&body)
    }

    /// Returns the request body for an engine that continues after the text `delivered`.
    pub fn continued_body(&self, delivered: &str) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), Value::Bool(true));
        match self.dialect {
            Dialect::Chat => {
                let turn = json!({"role": "assistant", "content": delivered});
                if let Some(Value::Array(messages)) = body.get_mut("messages") {
                    messages.push(turn);
                }
            }
            Dialect::Text => {
                body.insert("continue_from".to_owned(), Value::from(delivered));
            }
        }
        to_bytes(&body)
    }

    /// Returns one chunk of a streamed answer as JSON.
    pub fn chunk(&self, request: RequestId, text: Option<&str>, finish: Option<&str>) -> String {
        let choice = match self.dialect {
            Dialect::Chat => {
                let delta = text.map_or_else(|| json!({}), |t| json!({"content": t}));
                json!({"index": 0, "delta": delta, "finish_reason": finish})
            }
            Dialect::Text => {
                json!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": finish})
            }
        };
        let object = match self.dialect {
            Dialect::Chat => "chat.completion.chunk",
            Dialect::Text => "text_completion",
        };
        let id = answer_id(request);
        json!({"id": id, "object": object, "model": self.model, "choices": [choice]}).to_string()
    }

    /// Returns a complete answer of `count` tokens as JSON.
    pub fn complete_answer(
        &self,
        request: RequestId,
        text: &str,
        count: u32,
        finish: &str,
    ) -> String {
        let (object, choice) = match self.dialect {
            Dialect::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": finish});
                ("chat.completion", choice)
            }
            Dialect::Text => {
                let choice = json!({"index": 0, "text": text, "finish_reason": finish});
                ("text_completion", choice)
            }
        };
        json!({
            "id": answer_id(request),
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": count},
        })
        .to_string()
    }

    /// Returns the text of a complete answer made by [`Self::complete_answer`]; `None` if it cannot
    /// be parsed.
    pub fn answer_text(&self, answer: &str) -> Option<String> {
        let value: Value = serde_json::from_str(answer).ok()?;
        let choice = value.get("choices")?.get(0)?;
        let text = match self.dialect {
            Dialect::Chat => choice.get("message")?.get("content")?,
            Dialect::Text => choice.get("text")?,
        };
        text.as_str().map(str::to_owned)
    }
}

/// Returns the answer to a request for the list of models.
pub fn model_list(models: &[Model]) -> Value {
    let entry = |m: &Model| json!({"id": m, "object": "model", "owned_by": "thistlesill"});
    let data: Vec<Value> = models.iter().map(entry).collect();
    json!({"object": "list", "data": data})
}

fn answer_id(request: RequestId) -> String {
    format!("chatcmpl-{request}")
}

fn bad(text: impl Into<String>) -> BadCompletion {
    BadCompletion { text: text.into() }
}

fn to_bytes(body: &Map<String, Value>) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}

fn prompt(dialect: Dialect, body: &Map<String, Value>) -> Result<String, BadCompletion> {
    match dialect {
        Dialect::Text => match body.get("prompt") {
            Some(Value::String(prompt)) => Ok(prompt.clone()),
            _ => Err(bad("`prompt` must be a string")),
        },
        Dialect::Chat => {
            let Some(Value::Array(messages)) = body.get("messages") else {
                return Err(bad("`messages` must be a list"));
            };
            if messages.is_empty() {
                return Err(bad("`messages` must not be empty"));
            }
            first_message(messages)
        }
    }
}

fn first_message(messages: &[Value]) -> Result<String, BadCompletion> {
    let mut first = None;
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        if role.is_none() {
            return Err(bad("each message needs a `role`"));
        }
        let content = message.get("content").and_then(Value::as_str);
        first = first.or(content);
    }
    Ok(first.unwrap_or_default().to_owned())
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
