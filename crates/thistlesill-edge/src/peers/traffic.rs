//! Counts what this daemon sends to its peers, by kind of message.

use std::cell::RefCell;
use std::collections::BTreeMap;

use metrics::Counter;

/// Messages of one kind that were sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sent {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// Counters for the messages of one kind.
#[derive(Debug)]
struct KindCounters {
    sent: Sent,
    /// Metrics of the kind, looked up once since every datagram increments them.
    messages: Counter,
    bytes: Counter,
}

impl KindCounters {
    fn new(kind: &'static str) -> Self {
        Self {
            sent: Sent::default(),
            messages: metrics::counter!("thistlesill_edge_messages_sent_total", "kind" => kind),
            bytes: metrics::counter!("thistlesill_edge_message_bytes_total", "kind" => kind),
        }
    }
}

/// All messages that were sent since the start, by kind.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    kinds: RefCell<BTreeMap<&'static str, KindCounters>>,
}

impl Traffic {
    /// Records messages of `bytes` each.
    pub(crate) fn record(&self, kind: &'static str, messages: u64, bytes: usize) {
        if messages == 0 {
            return;
        }
        let bytes = messages * bytes as u64;
        let mut kinds = self.kinds.borrow_mut();
        let counters = kinds.entry(kind).or_insert_with(|| KindCounters::new(kind));
        counters.sent.messages += messages;
        counters.sent.bytes += bytes;
        counters.messages.increment(messages);
        counters.bytes.increment(bytes);
    }

    /// Returns what was sent of each kind.
    pub(crate) fn by_kind(&self) -> Vec<(&'static str, Sent)> {
        let kinds = self.kinds.borrow();
        kinds.iter().map(|(kind, c)| (*kind, c.sent)).collect()
    }
}
