//! Assembly of a token stream by offset.

use samphiremoor_base::quantity;

/// How a received token relates to the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// The next token of the stream.
    Next,
    /// A token that was already accepted; it is dropped.
    Duplicate,
    /// Tokens before this one are missing, so the attempt has failed.
    Gap,
}

/// Tracks the tokens of one stream across all replicas that served it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamAssembly {
    next_offset: quantity::TokenCount,
}

impl StreamAssembly {
    /// Creates an assembly that resumes at `next_offset`.
    pub const fn resumed(next_offset: quantity::TokenCount) -> Self {
        StreamAssembly { next_offset }
    }

    /// Returns the offset of the next token, which equals the number of tokens accepted so far.
    pub const fn next_offset(&self) -> quantity::TokenCount {
        self.next_offset
    }

    /// Classifies the token at `offset` and accepts it if it is the next one.
    pub fn accept(&mut self, offset: quantity::TokenCount) -> TokenVerdict {
        if offset < self.next_offset {
            return TokenVerdict::Duplicate;
        }
        if offset > self.next_offset {
            return TokenVerdict::Gap;
        }
        self.next_offset = self.next_offset.next();
        TokenVerdict::Next
    }
}
