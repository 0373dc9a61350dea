//! A stream of tokens: generated once, and read by any number of connections.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::Stream;
use salvo::sse::SseEvent;
use thistlesill_core::event_id::EventId;
use thistlesill_core::report::{Duty, Membership};
use thistlesill_core::{GroupId, RequestId};
use tokio::sync::watch;

use super::{Engine, lock};
use crate::words;

/// Interval between two checks of an incomplete group.
const GROUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    /// Position after the last generated token.
    pub generated: u32,
    /// Whether all tokens were generated.
    pub done: bool,
    /// Whether the stream was cut off or cancelled.
    pub aborted: bool,
}

/// A stream that an engine runs or ran, kept so that callers can resume it.
#[derive(Debug)]
pub struct StreamLog {
    pub(super) request: RequestId,
    pub(super) group: GroupId,
    pub(super) epoch: u64,
    pub(super) prompt: String,
    pub(super) total: u32,
    progress: watch::Sender<Progress>,
    readers: Mutex<u32>,
}

impl StreamLog {
    pub(super) fn new(
        request: RequestId,
        member: &Membership,
        prompt: String,
        from: u32,
        total: u32,
    ) -> Self {
        let progress = Progress {
            generated: from,
            done: false,
            aborted: false,
        };
        Self {
            request,
            group: member.group.clone(),
            epoch: member.epoch,
            prompt,
            total,
            progress: watch::Sender::new(progress),
            readers: Mutex::new(0),
        }
    }

    /// Ends the stream early; its readers get an error.
    pub(super) fn abort(&self) {
        self.progress.send_modify(|p| p.aborted = true);
    }

    fn is_finished(&self) -> bool {
        let progress = self.progress.borrow();
        progress.done || progress.aborted
    }

    fn token_event(&self, offset: u32) -> SseEvent {
        let id = EventId {
            request: self.request,
            group: self.group.clone(),
            epoch: self.epoch,
            offset,
        };
        let text = words::token(&self.prompt, offset);
        let data = serde_json::json!({
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
        });
        SseEvent::default()
            .id(id.to_string())
            .text(data.to_string())
    }

    fn end_event(&self) -> SseEvent {
        let id = EventId {
            request: self.request,
            group: self.group.clone(),
            epoch: self.epoch,
            offset: self.total,
        };
        let data = serde_json::json!({
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        SseEvent::default()
            .id(id.to_string())
            .text(data.to_string())
    }
}

/// Generates the tokens of a stream one after the other, after the time of the prefill.
pub(super) async fn generate(
    engine: Arc<Engine>,
    log: Arc<StreamLog>,
    member: Membership,
    prefill: Duration,
) {
    tokio::time::sleep(prefill).await;
    while log.progress.borrow().generated < log.total && !log.is_finished() {
        if !engine.wait_until_running().await || !is_still_member(&engine, &member) {
            engine.counts().cut += 1;
            log.abort();
            break;
        }
        if !engine.is_group_complete(&member) {
            // Waits for the other members, as a collective operation of a real engine does.
            tokio::time::sleep(GROUP_POLL_INTERVAL).await;
            continue;
        }
        log.progress.send_modify(|p| p.generated += 1);
        if !engine.is_group_complete(&member) {
            engine.counts().incomplete_tokens += 1;
        }
        tokio::time::sleep(engine.token_time()).await;
    }
    log.progress.send_modify(|p| p.done = !p.aborted);
    let mut state = engine.state();
    state.running = state.running.saturating_sub(1);
}

fn is_still_member(engine: &Engine, member: &Membership) -> bool {
    match engine.duty() {
        Duty::Ready(m) | Duty::Draining(m) => m == *member,
        _ => false,
    }
}

/// Returns the events of a stream from an offset on, as server-sent events.
///
/// An aborted stream ends with an error, which breaks the connection.
pub(super) fn read(
    engine: Arc<Engine>,
    log: Arc<StreamLog>,
    from: u32,
) -> impl Stream<Item = Result<SseEvent, std::io::Error>> + Send {
    *lock(&log.readers) += 1;
    let reader = Reader {
        progress: log.progress.subscribe(),
        engine,
        log,
        next: from,
        stage: Stage::Tokens,
    };
    futures_util::stream::unfold(reader, |mut reader| async move {
        let event = reader.next_event().await?;
        Some((event, reader))
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Tokens,
    DoneMarker,
    Ended,
}

struct Reader {
    engine: Arc<Engine>,
    log: Arc<StreamLog>,
    progress: watch::Receiver<Progress>,
    next: u32,
    stage: Stage,
}

impl Reader {
    async fn next_event(&mut self) -> Option<Result<SseEvent, std::io::Error>> {
        match self.stage {
            Stage::Ended => None,
            Stage::DoneMarker => {
                self.stage = Stage::Ended;
                Some(Ok(SseEvent::default().text("[DONE]")))
            }
            Stage::Tokens => Some(self.token_event().await),
        }
    }

    async fn token_event(&mut self) -> Result<SseEvent, std::io::Error> {
        let next = self.next;
        let waited = self
            .progress
            .wait_for(|p| p.generated > next || p.done || p.aborted)
            .await;
        let progress = waited.map(|p| *p);
        if !self.engine.wait_until_running().await {
            return self.connection_reset();
        }
        match progress {
            Ok(p) if p.generated > next => {
                self.next += 1;
                Ok(self.log.token_event(next))
            }
            Ok(p) if p.done => {
                self.stage = Stage::DoneMarker;
                Ok(self.log.end_event())
            }
            _ => self.connection_reset(),
        }
    }

    fn connection_reset(&mut self) -> Result<SseEvent, std::io::Error> {
        self.stage = Stage::Ended;
        Err(std::io::ErrorKind::ConnectionReset.into())
    }
}

impl Drop for Reader {
    /// Aborts the stream after a grace period if no other reader has come.
    fn drop(&mut self) {
        let mut readers = lock(&self.log.readers);
        *readers -= 1;
        if *readers > 0 || self.log.is_finished() {
            return;
        }
        let (log, grace) = (self.log.clone(), self.engine.keep_timeout());
        tokio::spawn(async move {
            tokio::time::sleep(grace).await;
            if *lock(&log.readers) == 0 {
                log.abort();
            }
        });
    }
}
