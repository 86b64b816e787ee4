//! Assembly of a token stream by offset.

use samphiremoor_base::quantity;

/// What a token that arrived means for the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// The next token of the stream.
    Next,
    /// A token that was taken before; it is dropped.
    Duplicate,
    /// Tokens before this one are missing: the upstream failed.
    Gap,
}

/// Counts the tokens of one stream over all replicas that served it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamAssembly {
    taken: quantity::TokenCount,
}

impl StreamAssembly {
    /// An assembly that goes on after `taken` tokens.
    pub const fn resumed(taken: quantity::TokenCount) -> Self {
        StreamAssembly { taken }
    }

    /// Tokens taken so far; also the offset of the next token.
    pub const fn next_offset(&self) -> quantity::TokenCount {
        self.taken
    }

    /// Judges the token at `offset` and takes it where it is the next one.
    pub fn accept(&mut self, offset: quantity::TokenCount) -> TokenVerdict {
        if offset < self.taken {
            return TokenVerdict::Duplicate;
        }
        if offset > self.taken {
            return TokenVerdict::Gap;
        }
        self.taken = self.taken.next();
        TokenVerdict::Next
    }
}
