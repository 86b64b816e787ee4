//! Memory for the responses that are read whole, which all requests of the daemon share.

use std::rc;

use samphiremoor_httpio::connection;

use crate::core;

/// Size up to which the body of a response is not counted.
const SMALL_BODY: u64 = 64 * 1024;
/// Size from which a body is given up once the memory is used. Smaller ones may use as much again.
const LARGE_BODY: u64 = 1024 * 1024;
/// Divisor of the process's memory that gives the limit for the bodies of responses.
const MEMORY_DIVISOR: u64 = 4;

/// Counts the body of a response toward the memory limit until dropped.
pub struct ResponseMemory {
    core: rc::Rc<core::GatewayCore>,
    /// Counted bytes of the body.
    counted: u64,
}

impl ResponseMemory {
    /// Creates the count of an empty body.
    pub fn new(core: &rc::Rc<core::GatewayCore>) -> Self {
        ResponseMemory { core: core.clone(), counted: 0 }
    }

    /// Counts a body that has grown to `length` bytes. Returns `false` if it must be given up, since it or
    /// all bodies are too large.
    pub fn grow_to(&mut self, length: usize) -> bool {
        let length = length as u64;
        let counted = length.saturating_sub(SMALL_BODY);
        let mut state = self.core.state.borrow_mut();
        state.response_bytes = state.response_bytes.saturating_sub(self.counted) + counted;
        self.counted = counted;
        let limit = self.core.settings.shared.memory_mb * 1024 * 1024 / MEMORY_DIVISOR;
        let limit = if length < LARGE_BODY { 2 * limit } else { limit };
        length <= connection::MAX_RESPONSE_BODY.get()
            && (counted == 0 || state.response_bytes <= limit)
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.core.state.borrow_mut().response_bytes -= self.counted;
    }
}

/// Body of a response that was read whole, with the memory that it uses.
pub struct WholeBody {
    /// The bytes.
    pub bytes: Vec<u8>,
    _memory: ResponseMemory,
}

impl WholeBody {
    /// Wraps a body and its count.
    pub fn new(bytes: Vec<u8>, memory: ResponseMemory) -> Self {
        WholeBody { bytes, _memory: memory }
    }
}
