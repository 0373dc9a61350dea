//! The text that a stand-in engine writes: a fixed function of the prompt
//! and the position, so that a test knows the whole answer beforehand.

use serde::Deserialize;

const WORDS: &[&str] = &[
    "the", "motion", "was", "moved", "and", "seconded", "by", "members", "of", "board", "hut",
    "route", "snow", "pass", "permit", "evening", "draft", "vote", "carried", "without",
];

/// Tokens that an answer has if the request does not say.
pub const DEFAULT_TOKENS: u32 = 24;

/// The fields of a completion request that a stand-in engine reads.
#[derive(Debug, Clone, Deserialize)]
pub struct Body {
    /// The model.
    pub model: String,
    /// Chat messages.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a plain completion.
    #[serde(default)]
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: Option<u32>,
}

/// A chat message.
#[derive(Debug, Clone, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What.
    pub content: String,
}

impl Body {
    /// The text that the answer depends on: all but what an assistant has
    /// begun to say.
    pub fn prompt_text(&self) -> String {
        let said = self.messages.iter().filter(|m| m.role != "assistant");
        let mut text: Vec<&str> = said.map(|m| m.content.as_str()).collect();
        if !self.prompt.is_empty() {
            text.push(&self.prompt);
        }
        text.join("\n")
    }

    /// How many tokens the answer has.
    pub fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// The token at a position of the answer to a prompt.
pub fn token(prompt: &str, position: u32) -> String {
    let seed = rapidhash::v3::rapidhash_v3(prompt.as_bytes());
    let step = rapidhash::v3::rapidhash_v3(&(seed ^ u64::from(position)).to_le_bytes());
    let word = WORDS[(step % WORDS.len() as u64) as usize];
    format!("{word}{position} ")
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(prompt, i)).collect()
}
