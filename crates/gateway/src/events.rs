//! Splits a stream of server-sent events into whole events and holds their numbers to their order.

/// What the next whole event is to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// It follows the last one.
    Next,
    /// The caller has it.
    Known,
    /// Events before it are missing.
    Gap,
}

/// Splits the bytes of one stream; goes on over several runs.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    last: Option<u64>,
    delivered: u64,
}

impl EventSplitter {
    /// A splitter for a caller that has the events up to `last`.
    pub fn new(last: Option<u64>) -> Self {
        EventSplitter { last, ..EventSplitter::default() }
    }

    /// Room for bytes as they come.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Number of the last event that was delivered, or that the caller had before.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events delivered over all runs.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether an event was begun and not ended.
    pub fn is_torn(&self) -> bool {
        self.buffer.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Drops what a broken run left.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Moves whole events that follow the last one to `out`; false where events are missing.
    pub fn take(&mut self, out: &mut Vec<u8>) -> bool {
        let mut start = 0;
        let mut is_whole = true;
        while let Some(length) = event_length(&self.buffer[start..]) {
            let event = &self.buffer[start..start + length];
            match verdict(self.last, event_number(event)) {
                (EventVerdict::Next, number) => {
                    out.extend_from_slice(event);
                    self.last = number.or(self.last);
                    self.delivered += 1;
                }
                (EventVerdict::Known, _) => {}
                (EventVerdict::Gap, _) => {
                    is_whole = false;
                    break;
                }
            }
            start += length;
        }
        self.buffer.drain(..start);
        is_whole
    }
}

/// Bytes of the first event with its blank line; absent while it is not whole.
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

/// Number in the event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

fn verdict(last: Option<u64>, number: Option<u64>) -> (EventVerdict, Option<u64>) {
    match (last, number) {
        (Some(last), Some(number)) if number <= last => (EventVerdict::Known, None),
        (Some(last), Some(number)) if number > last + 1 => (EventVerdict::Gap, None),
        (_, number) => (EventVerdict::Next, number),
    }
}
