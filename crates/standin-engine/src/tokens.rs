//! Deterministic tokens: each is a function of the whole prompt and its index, so that every
//! replica gives the same answer and a continuation can be checked token by token.

use std::hash::Hasher as _;

use siphasher::sip;

/// Hash of a whole prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptHash(u64);

impl PromptHash {
    /// Hash of a prompt's text.
    pub fn of(prompt: &str) -> Self {
        let mut hasher = sip::SipHasher13::new();
        hasher.write(prompt.as_bytes());
        PromptHash(hasher.finish())
    }

    /// Text of the token at `index`, which counts from 0.
    pub fn token(self, index: u64) -> String {
        let mut hasher = sip::SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u64(index);
        format!("{:08x} ", hasher.finish() as u32)
    }

    /// Text of the first `count` tokens.
    pub fn text(self, count: u64) -> String {
        (0..count).map(|index| self.token(index)).collect()
    }
}

/// One message of a chat as it enters the prompt.
pub fn chat_line(role: &str, content: &str) -> String {
    format!("{role}:{content}\n")
}

/// Tokens of a prompt: its words.
pub fn prompt_tokens(prompt: &str) -> Vec<&str> {
    prompt.split_whitespace().collect()
}
