//! One stream of tokens: made once, read by whoever asks for it.

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

/// Between two looks at a group that is not whole.
const STALL: Duration = Duration::from_millis(20);

/// How far a stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    /// Tokens made.
    pub made: u32,
    /// Whether it ended.
    pub done: bool,
    /// Whether it was cut off or cancelled.
    pub cut: bool,
}

/// A stream that an engine runs or ran.
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
            made: from,
            done: false,
            cut: false,
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

    pub(super) fn cut(&self) {
        self.progress.send_modify(|p| p.cut = true);
    }

    fn is_over(&self) -> bool {
        let progress = self.progress.borrow();
        progress.done || progress.cut
    }

    fn event(&self, offset: u32) -> SseEvent {
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

/// Makes the tokens of a stream, one after the other.
pub(super) async fn make(
    engine: Arc<Engine>,
    log: Arc<StreamLog>,
    member: Membership,
    prefill: Duration,
) {
    tokio::time::sleep(prefill).await;
    while log.progress.borrow().made < log.total && !log.is_over() {
        if !engine.powered().await || !still_member(&engine, &member) {
            engine.counts().cut += 1;
            log.cut();
            break;
        }
        if !engine.is_group_whole(&member) {
            // The other members are waited for, as a collective does.
            tokio::time::sleep(STALL).await;
            continue;
        }
        log.progress.send_modify(|p| p.made += 1);
        if !engine.is_group_whole(&member) {
            engine.counts().incomplete_tokens += 1;
        }
        tokio::time::sleep(engine.token_time()).await;
    }
    log.progress.send_modify(|p| p.done = !p.cut);
    let mut state = engine.state();
    state.running = state.running.saturating_sub(1);
}

fn still_member(engine: &Engine, member: &Membership) -> bool {
    match engine.duty() {
        Duty::Ready(m) | Duty::Draining(m) => m == *member,
        _ => false,
    }
}

/// Reads a stream from an offset on, as server-sent events.
///
/// A cut stream ends with an error, which breaks the connection.
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
        let event = reader.step().await?;
        Some((event, reader))
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Tokens,
    Closing,
    Over,
}

struct Reader {
    engine: Arc<Engine>,
    log: Arc<StreamLog>,
    progress: watch::Receiver<Progress>,
    next: u32,
    stage: Stage,
}

impl Reader {
    async fn step(&mut self) -> Option<Result<SseEvent, std::io::Error>> {
        match self.stage {
            Stage::Over => None,
            Stage::Closing => {
                self.stage = Stage::Over;
                Some(Ok(SseEvent::default().text("[DONE]")))
            }
            Stage::Tokens => Some(self.token().await),
        }
    }

    async fn token(&mut self) -> Result<SseEvent, std::io::Error> {
        let next = self.next;
        let waited = self
            .progress
            .wait_for(|p| p.made > next || p.done || p.cut)
            .await;
        let progress = waited.map(|p| *p);
        if !self.engine.powered().await {
            return self.broken();
        }
        match progress {
            Ok(p) if p.made > next => {
                self.next += 1;
                Ok(self.log.event(next))
            }
            Ok(p) if p.done => {
                self.stage = Stage::Closing;
                Ok(self.log.end_event())
            }
            _ => self.broken(),
        }
    }

    fn broken(&mut self) -> Result<SseEvent, std::io::Error> {
        self.stage = Stage::Over;
        Err(std::io::ErrorKind::ConnectionReset.into())
    }
}

impl Drop for Reader {
    /// A stream that nobody reads is kept for a while, then cut.
    fn drop(&mut self) {
        let mut readers = lock(&self.log.readers);
        *readers -= 1;
        if *readers > 0 || self.log.is_over() {
            return;
        }
        let (log, keep) = (self.log.clone(), self.engine.keep_time());
        tokio::spawn(async move {
            tokio::time::sleep(keep).await;
            if *lock(&log.readers) == 0 {
                log.cut();
            }
        });
    }
}
