//! What this daemon sends to its peers, by kind of message.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// Messages of one kind that were sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sent {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// All messages that were sent since the start, by kind.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: RefCell<BTreeMap<&'static str, Sent>>,
}

impl Traffic {
    /// Counts messages of some bytes each.
    pub(crate) fn note(&self, kind: &'static str, messages: u64, bytes: usize) {
        if messages == 0 {
            return;
        }
        let bytes = messages * bytes as u64;
        let mut sent = self.sent.borrow_mut();
        let all = sent.entry(kind).or_default();
        all.messages += messages;
        all.bytes += bytes;
        metrics::counter!("thistlesill_edge_messages_sent_total", "kind" => kind)
            .increment(messages);
        metrics::counter!("thistlesill_edge_message_bytes_total", "kind" => kind).increment(bytes);
    }

    /// What was sent of each kind.
    pub(crate) fn by_kind(&self) -> Vec<(&'static str, Sent)> {
        let sent = self.sent.borrow();
        sent.iter().map(|(kind, sent)| (*kind, *sent)).collect()
    }
}
