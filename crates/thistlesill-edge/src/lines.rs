//! Structured log lines on standard output, from which failures can be explained afterwards.
//!
//! A line holds `name=value` pairs: the time, the event, then its inputs and outcome. Lines are
//! buffered and written by a thread of their own, so that the main loop never waits for the
//! reader of standard output. Lines that don't fit into the buffer are dropped and counted.

use std::cell::{Cell, RefCell};
use std::fmt::{Display, Write as _};
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::time::Duration;

use thistlesill_net::clock::Clock;

/// Maximum size of the buffer.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum number of batches that wait for the reader of standard output.
const MAX_QUEUED_BATCHES: usize = 16;

/// Maximum number of characters of a foreign text in a line.
const MAX_EXCERPT_CHARS: usize = 40;

/// Returns the beginning of a text that another process sent, for a line.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}

/// Buffers log lines and passes them to the writing thread.
#[derive(Debug)]
pub struct Lines {
    text: RefCell<String>,
    dropped: Cell<u64>,
    out: SyncSender<Batch>,
}

/// What the writing thread gets.
#[derive(Debug)]
enum Batch {
    Lines(String),
    /// Asks for a message once all lines before it are written.
    End(Sender<()>),
}

impl Lines {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (sender, batches) = sync_channel(MAX_QUEUED_BATCHES);
        std::thread::spawn(move || write_batches(out, &batches));
        Self {
            text: RefCell::new(String::new()),
            dropped: Cell::new(0),
            out: sender,
        }
    }

    /// Begins a line with the time and the name of an event.
    pub fn line(&self, event: &str) -> Line<'_> {
        let mut text = String::with_capacity(160);
        let wall = Clock::wall();
        let _ = write!(text, "t={}.{:03} ev={event}", wall / 1_000, wall % 1_000);
        Line { lines: self, text }
    }

    /// Passes the buffered lines to the writing thread.
    pub fn flush(&self) {
        if self.text.borrow().is_empty() {
            return;
        }
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            metrics::counter!("thistlesill_edge_log_dropped_total").increment(dropped);
            self.line("log_dropped").with("lines", dropped).write();
        }
        let batch = self.text.take();
        let count = batch.lines().count() as u64;
        if self.out.try_send(Batch::Lines(batch)).is_err() {
            self.dropped.set(self.dropped.get() + count);
        }
    }

    /// Flushes the lines and waits until they are written, but no longer than `limit`, since
    /// nothing may read the output.
    pub fn finish(&self, limit: Duration) {
        self.flush();
        let (sender, written) = channel();
        if self.out.try_send(Batch::End(sender)).is_ok() {
            // An error means that the limit has passed or the output is closed.
            let _ = written.recv_timeout(limit);
        }
    }

    fn push(&self, line: &str) {
        let mut text = self.text.borrow_mut();
        if text.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        text.push_str(line);
        text.push('\n');
    }
}

/// A log line under construction.
#[derive(Debug)]
#[must_use = "a line is written by `write`"]
pub struct Line<'a> {
    lines: &'a Lines,
    text: String,
}

impl Line<'_> {
    /// Adds a value; one with blanks, quotes, line breaks or `=` is quoted.
    pub fn with(mut self, name: &str, value: impl Display) -> Self {
        let start = self.text.len() + name.len() + 2;
        let _ = write!(self.text, " {name}={value}");
        let plain = !self.text[start..].contains([' ', '"', '\n', '=']);
        if !plain {
            let value = self.text.split_off(start);
            let _ = write!(self.text, "{value:?}");
        }
        self
    }

    /// Adds a value if it is `Some`.
    pub fn maybe(self, name: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }

    /// Adds the line to the buffer.
    pub fn write(self) {
        self.lines.push(&self.text);
    }
}

fn write_batches(mut out: impl Write, batches: &Receiver<Batch>) {
    while let Ok(batch) = batches.recv() {
        match batch {
            Batch::Lines(text) => {
                let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
                // The output may be closed, and there is no other place to report that.
                if written.is_err() {
                    return;
                }
            }
            Batch::End(written) => drop(written.send(())),
        }
    }
}
