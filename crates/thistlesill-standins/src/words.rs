//! Text that the stand-in engines generate: a pure function of the prompt and the position, so that
//! a test can compute the complete answer in advance.

use serde::Deserialize;

const WORDS: &[&str] = &[
    "the", "motion", "was", "moved", "and", "seconded", "by", "members", "of", "board", "hut",
    "route", "snow", "pass", "permit", "evening", "draft", "vote", "carried", "without",
];

/// Length of an answer in tokens if the request does not set one.
pub const DEFAULT_ANSWER_TOKENS: u32 = 24;

/// The fields of a completion request that a stand-in engine reads.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionRequest {
    /// Name of the requested model.
    pub model: String,
    /// Messages of a chat completion.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: String,
    /// Requested length of the answer in tokens.
    pub max_tokens: Option<u32>,
}

/// A message of a chat.
#[derive(Debug, Clone, Deserialize)]
pub struct Message {
    /// Role of the speaker; `assistant` marks text of the model.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl CompletionRequest {
    /// Returns the text that the answer depends on: all messages but those of the assistant.
    ///
    /// A router that continues an answer on another engine sends the part delivered so far as a
    /// message of the assistant, which must not change the rest.
    pub fn prompt_text(&self) -> String {
        let inputs = self.messages.iter().filter(|m| m.role != "assistant");
        let mut text: Vec<&str> = inputs.map(|m| m.content.as_str()).collect();
        if !self.prompt.is_empty() {
            text.push(&self.prompt);
        }
        text.join("\n")
    }

    /// Returns the length of the answer in tokens.
    pub fn answer_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS)
    }
}

/// Returns the token at a position of the answer to a prompt.
pub fn token(prompt: &str, position: u32) -> String {
    let seed = rapidhash::v3::rapidhash_v3(prompt.as_bytes());
    let step = rapidhash::v3::rapidhash_v3(&(seed ^ u64::from(position)).to_le_bytes());
    let word = WORDS[(step % WORDS.len() as u64) as usize];
    format!("{word}{position} ")
}

/// Returns the complete answer of `tokens` tokens to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(prompt, i)).collect()
}
