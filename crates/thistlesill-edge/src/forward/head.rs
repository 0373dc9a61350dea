//! The headers of requests that daemons pass to each other, and of the answers to these.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request};
use thistlesill_core::ErrorKind;
use thistlesill_platform::caller::{PeerHead, set_peer_headers};
use thistlesill_policy::edge::attempt::Attempts;

use crate::job::{Job, Payer};

/// Marks a request that a peer passes on, with [`Hop`] as its value.
const HOP: HeaderName = HeaderName::from_static("thistlesill-hop");
/// Marks the answer of a daemon that declined to send a request; its value is the reason.
const DECLINED: HeaderName = HeaderName::from_static("thistlesill-declined");
/// Number of targets that a daemon sent a request to before its answer began, or in vain; in all
/// answers of a daemon that takes requests of peers.
const SENT: HeaderName = HeaderName::from_static("thistlesill-sent");

/// What a daemon says of a request that it passes to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hop {
    /// Version of the catalog by which the daemon admitted the request.
    pub(crate) catalog: u64,
    /// Number of targets that the request was sent to.
    pub(crate) sent: u32,
    /// Whether the request may have run at one of them.
    pub(crate) may_have_run: bool,
    /// Whether the daemon's own retry budget has counted the request.
    pub(crate) counted: bool,
    /// Whether that budget covers the attempt, if it is a retry.
    pub(crate) paid: bool,
}

impl Hop {
    /// Returns the attempts that the request has had already.
    pub(crate) const fn attempts(self) -> Attempts {
        Attempts::passed_on(self.sent, self.may_have_run)
    }

    /// Returns whether the attempt is a retry that the receiver's budget has to cover.
    pub(crate) const fn needs_retry(self) -> bool {
        self.sent > 0 && !self.paid
    }

    /// Returns whose budget covers the attempt, if it is a retry that the sender's budget covers.
    pub(crate) const fn payer(self) -> Option<Payer> {
        if self.sent > 0 && self.paid {
            Some(Payer::Peer)
        } else {
            None
        }
    }

    /// Reads the hop of a request and removes its header; `None` if it is missing or malformed.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(HOP)?;
        let mut numbers = value.to_str().ok()?.split(' ').map(str::parse);
        let mut next = || numbers.next()?.ok();
        let (catalog, sent): (u64, u64) = (next()?, next()?);
        let mut flag = || Some(next()? > 0);
        Some(Self {
            catalog,
            sent: u32::try_from(sent).ok()?,
            may_have_run: flag()?,
            counted: flag()?,
            paid: flag()?,
        })
    }
}

/// Builds the request that passes a caller's request to a peer.
pub(super) fn request(
    job: &Job,
    last_event: Option<&str>,
    attempts: Attempts,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let mut headers = job.headers.clone();
    let head = PeerHead {
        key: &job.head.key,
        remaining: job.time_left(),
        last_event,
    };
    set_peer_headers(&mut headers, &head);
    let hop = format!(
        "{} {} {} {} {}",
        job.admission.version,
        attempts.sent,
        u8::from(attempts.may_have_run),
        u8::from(job.counted.get()),
        u8::from(job.is_paid()),
    );
    set(&mut headers, HOP, &hop);
    *request.headers_mut() = headers;
    request
}

/// What a peer declines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decline {
    /// A retry, which no budget covers.
    Retry,
    /// Any request.
    Any,
}

/// Returns what the peer that gave this answer declined, if it did.
pub(super) fn declined(headers: &HeaderMap) -> Option<Decline> {
    let reason = headers.get(DECLINED)?;
    if reason == ErrorKind::RetryBudget.name() {
        Some(Decline::Retry)
    } else {
        Some(Decline::Any)
    }
}

/// Returns why a peer declined a request, for logs.
pub(super) fn reason(headers: &HeaderMap) -> &str {
    let reason = headers.get(DECLINED);
    reason.and_then(|r| r.to_str().ok()).unwrap_or_default()
}

/// Marks an answer as that of a daemon that declined the request.
pub(super) fn set_declined(headers: &mut HeaderMap, reason: &str) {
    set(headers, DECLINED, reason);
}

/// Removes from a target's answer what only daemons say to each other.
pub(super) fn clear(headers: &mut HeaderMap) {
    headers.remove(DECLINED);
    headers.remove(SENT);
}

/// Sets the number of targets that the request was sent to.
pub(super) fn set_sent(headers: &mut HeaderMap, sent: u32) {
    set(headers, SENT, &sent.to_string());
}

/// Reads and removes the number of targets that the request was sent to; `None` if the answer does
/// not come from a daemon that takes requests of peers.
pub(super) fn take_sent(headers: &mut HeaderMap) -> Option<u32> {
    headers.remove(SENT)?.to_str().ok()?.parse().ok()
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
