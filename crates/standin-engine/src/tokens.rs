//! Deterministic tokens. Each token is a function of the full prompt and its index, so every
//! replica gives the same response and a test can check a continuation token by token.

use std::hash::Hasher as _;

use siphasher::sip;

/// Hash of a full prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptHash(u64);

impl PromptHash {
    /// Hashes a prompt's text.
    pub fn of(prompt: &str) -> Self {
        let mut hasher = sip::SipHasher13::new();
        hasher.write(prompt.as_bytes());
        PromptHash(hasher.finish())
    }

    /// Returns the text of the response token at `index`, counted from 0.
    pub fn token(self, index: u64) -> String {
        let mut hasher = sip::SipHasher13::new();
        hasher.write_u64(self.0);
        hasher.write_u64(index);
        format!("{:08x} ", hasher.finish() as u32)
    }

    /// Returns the text of the first `count` response tokens.
    pub fn text(self, count: u64) -> String {
        (0..count).map(|index| self.token(index)).collect()
    }
}

/// Returns the line of the prompt for one chat message.
pub fn chat_line(role: &str, content: &str) -> String {
    format!("{role}:{content}\n")
}

/// Returns the tokens of a prompt, which are its whitespace-separated words.
pub fn prompt_tokens(prompt: &str) -> Vec<&str> {
    prompt.split_whitespace().collect()
}
