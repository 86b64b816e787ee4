//! Splits a stream of server-sent events into whole events and checks the order of their IDs.

/// Largest event, in bytes. What is longer is no event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Largest number of bytes of events that the caller already has, between two that it lacks.
const MAX_DUPLICATE_BYTES: usize = 1024 * 1024;

/// How an event relates to the events that the caller already has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventOrder {
    /// The event follows the last one.
    Next,
    /// The caller already has the event.
    Duplicate,
    /// Events between the last one and this one are missing.
    Gap,
}

/// Splits the bytes of one stream, which several replicas may serve in turn.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    last_id: Option<u64>,
    delivered: u64,
    /// Number of bytes of the events since the last one that was delivered.
    duplicate_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter for a caller that has received the events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Returns the buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Returns the ID of the last event that was delivered, or that the caller had before.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events delivered from all replicas.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_incomplete(&self) -> bool {
        self.buffer.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Returns whether the buffer holds a whole event. Comments and blank lines, which a stalled replica
    /// may send as well, are none.
    pub fn has_event(&self) -> bool {
        let mut start = 0;
        while let Some(length) = event_length(&self.buffer[start..]) {
            if has_field(&self.buffer[start..start + length]) {
                return true;
            }
            start += length;
        }
        false
    }

    /// Returns whether the stream has gone on for too long without an event that the caller lacks.
    pub fn is_excessive(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES || self.duplicate_bytes > MAX_DUPLICATE_BYTES
    }

    /// Discards the incomplete event of a broken stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.duplicate_bytes = 0;
    }

    /// Moves the complete events that follow the last one to `out` and drops those that the caller
    /// already has. Returns `false` if events are missing.
    pub fn take_events(&mut self, out: &mut Vec<u8>) -> bool {
        let mut start = 0;
        let mut is_in_order = true;
        while let Some(length) = event_length(&self.buffer[start..]) {
            let event = &self.buffer[start..start + length];
            match event_order(self.last_id, event_id(event)) {
                (EventOrder::Next, id) => {
                    out.extend_from_slice(event);
                    self.last_id = id.or(self.last_id);
                    self.delivered += 1;
                    self.duplicate_bytes = 0;
                }
                (EventOrder::Duplicate, _) => self.duplicate_bytes += length,
                (EventOrder::Gap, _) => {
                    is_in_order = false;
                    break;
                }
            }
            start += length;
        }
        self.buffer.drain(..start);
        is_in_order
    }
}

/// Returns the length of the first event including its blank line, or `None` if the event is
/// incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(end) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[line_start..line_start + end];
        line_start += end + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
    None
}

/// Returns whether an event has a line that is no comment.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns the number in the event's `id` field, if there is one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// Returns how an event relates to the last one, and its ID if the event follows.
fn event_order(last_id: Option<u64>, id: Option<u64>) -> (EventOrder, Option<u64>) {
    match (last_id, id) {
        (Some(last_id), Some(id)) if id <= last_id => (EventOrder::Duplicate, None),
        (Some(last_id), Some(id)) if id > last_id + 1 => (EventOrder::Gap, None),
        (_, id) => (EventOrder::Next, id),
    }
}
