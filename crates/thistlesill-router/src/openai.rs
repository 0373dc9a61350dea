//! Requests and answers of the `OpenAI` completion protocol.

mod fields;

use std::borrow::Cow;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use snafu::Snafu;
use thistlesill_core::{Model, RequestId};

use self::fields::{KnownFields, MessageList, NewField, text_of};

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
    /// The body of the request, which is a JSON object.
    body: Bytes,
}

/// Parses a completion request.
///
/// # Errors
///
/// [`BadCompletion`] if the body is not a JSON object, or if a required field is missing or of the
/// wrong type.
pub fn parse(dialect: Dialect, body: Bytes) -> Result<Completion, BadCompletion> {
    let no_object = |e: &dyn std::fmt::Display| bad(format!("not a JSON object: {e}"));
    let text = std::str::from_utf8(&body).map_err(|e| no_object(&e))?;
    let fields = KnownFields::read(text).map_err(|e| no_object(&e))?;
    let model = fields.model.and_then(text_of);
    let model = model.ok_or_else(|| bad("`model` must be a string"))?;
    let streamed = match fields.stream.map(RawValue::get) {
        None | Some("null" | "false") => false,
        Some("true") => true,
        Some(_) => return Err(bad("`stream` must be true or false")),
    };
    let prompt = prompt(dialect, &fields)?;
    Ok(Completion {
        dialect,
        model: Model::from(model.as_str()),
        streamed,
        prefix: (!prompt.is_empty()).then(|| prefix_hash(&prompt)),
        body,
    })
}

impl Completion {
    /// Returns the request body for an engine, which always streams.
    pub fn engine_body(&self) -> Vec<u8> {
        self.body_with(Vec::new())
    }

    /// Returns the request body for an engine that continues after the text `delivered`.
    pub fn continued_body(&self, delivered: &str) -> Vec<u8> {
        let field = match self.dialect {
            Dialect::Chat => NewField {
                name: "messages",
                value: Cow::from(self.messages_with(delivered)),
            },
            Dialect::Text => NewField {
                name: "continue_from",
                value: Cow::from(Value::from(delivered).to_string()),
            },
        };
        self.body_with(vec![field])
    }

    /// Returns the messages with what was delivered as a further one.
    fn messages_with(&self, delivered: &str) -> String {
        let messages = KnownFields::read(self.text()).ok().and_then(|f| f.messages);
        let messages = messages.map_or("[]", RawValue::get);
        let start = messages.strip_suffix(']').unwrap_or(messages);
        let turn = json!({"role": "assistant", "content": delivered});
        format!("{start},{turn}]")
    }

    /// Returns the body of a stream with some fields replaced.
    fn body_with(&self, mut new: Vec<NewField<'_>>) -> Vec<u8> {
        new.push(NewField {
            name: "stream",
            value: Cow::from("true"),
        });
        fields::replace(self.text(), &new).unwrap_or_default()
    }

    /// Returns the body, which was checked to be text.
    fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
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

fn prompt(dialect: Dialect, fields: &KnownFields<'_>) -> Result<String, BadCompletion> {
    match dialect {
        Dialect::Text => {
            let prompt = fields.prompt.and_then(text_of);
            prompt.ok_or_else(|| bad("`prompt` must be a string"))
        }
        Dialect::Chat => {
            let messages = fields.messages.and_then(MessageList::read);
            let messages = messages.ok_or_else(|| bad("`messages` must be a list"))?;
            if messages.count == 0 {
                return Err(bad("`messages` must not be empty"));
            }
            if !messages.has_roles {
                return Err(bad("each message needs a `role`"));
            }
            Ok(messages.first_text.unwrap_or_default())
        }
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
