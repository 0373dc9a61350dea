//! Requests to other daemons by datagram, for whose replies a caller's request waits.

use std::time::Duration;

use thistlesill_core::NodeId;
use thistlesill_policy::edge::pending::PendingRequests;
use tokio::sync::oneshot;

/// How long a reply is awaited. It takes 0.5 ms; a daemon that shares an eighth of a core may be
/// some milliseconds behind, and a longer wait would cost the request a good part of its latency
/// objective.
const REPLY_TIMEOUT: Duration = Duration::from_millis(15);

/// The kinds of replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyKind {
    /// A proof of the catalog.
    Proof,
    /// The placement of a request.
    Placement,
    /// The decision on a grant.
    Grant,
}

impl ReplyKind {
    /// Returns the name in metrics, which is that of the datagram.
    const fn name(self) -> &'static str {
        match self {
            Self::Proof => "vouch",
            Self::Placement => "placed",
            Self::Grant => "grant",
        }
    }
}

/// Requests of one kind that have not been answered.
pub(crate) type PendingReplies<T> = PendingRequests<oneshot::Sender<T>>;

/// Registers a request to `peer`. Returns the number that is repeated in its reply, and the receiver
/// of that reply.
pub(crate) fn begin<T>(
    requests: &mut PendingReplies<T>,
    peer: &NodeId,
) -> (u64, oneshot::Receiver<T>) {
    let (sender, receiver) = oneshot::channel();
    (requests.add(peer.clone(), sender), receiver)
}

/// Hands a reply to the task that waits for it. A late reply is dropped, and so is one to a request
/// of an earlier incarnation of this daemon.
pub(crate) fn resolve<T>(
    requests: &mut PendingReplies<T>,
    id: u64,
    from: &NodeId,
    reply: T,
    kind: ReplyKind,
) {
    match requests.take(id, from) {
        Some(sender) => drop(sender.send(reply)),
        None => count_unrequested(kind),
    }
}

/// Counts a reply that belongs to no request that waits for one.
pub(crate) fn count_unrequested(kind: ReplyKind) {
    let kind = kind.name();
    metrics::counter!("thistlesill_edge_unrequested_replies_total", "kind" => kind).increment(1);
}

/// Removes requests whose replies no task waits for any more: their time is up, or the callers'
/// requests have ended.
pub(crate) fn remove_closed<T>(requests: &mut PendingReplies<T>) {
    requests.retain(|sender| !sender.is_closed());
}

/// Waits for a reply; returns `None` if it does not come in time.
pub(crate) async fn in_time<T>(reply: oneshot::Receiver<T>) -> Option<T> {
    tokio::time::timeout(REPLY_TIMEOUT, reply).await.ok()?.ok()
}
