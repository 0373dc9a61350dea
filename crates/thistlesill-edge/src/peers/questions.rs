//! Questions to other daemons, by datagram, whose answers requests wait for.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

/// How long an answer is awaited. It takes 0.5 ms; a daemon that shares an eighth of a
/// core may be some milliseconds behind, and more would cost the request a good part of
/// its objective.
const ANSWER: Duration = Duration::from_millis(15);

/// Questions of one kind that are under way.
#[derive(Debug)]
pub(crate) struct Questions<T> {
    next: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self {
            next: 0,
            waiting: HashMap::new(),
        }
    }
}

impl<T> Questions<T> {
    /// Begins a question; returns the number that comes back in its answer, and where
    /// that will be.
    pub(crate) fn begin(&mut self) -> (u64, oneshot::Receiver<T>) {
        let (reply, answer) = oneshot::channel();
        self.next += 1;
        self.waiting.insert(self.next, reply);
        (self.next, answer)
    }

    /// Hands an answer to who asked; for one that comes too late nobody waits.
    pub(crate) fn answered(&mut self, id: u64, answer: T) {
        if let Some(reply) = self.waiting.remove(&id) {
            drop(reply.send(answer));
        }
    }

    /// Forgets questions whose answers nobody waits for any more: their time is up, or
    /// their requests have ended.
    pub(crate) fn tidy(&mut self) {
        self.waiting.retain(|_, reply| !reply.is_closed());
    }
}

/// Waits for an answer; `None` if it does not come in time.
pub(crate) async fn in_time<T>(answer: oneshot::Receiver<T>) -> Option<T> {
    tokio::time::timeout(ANSWER, answer).await.ok()?.ok()
}
