//! Requests that ended without an answer while their targets were silent.
//!
//! Load pattern: the machine of a target stops without a word as the target begins to run a request. The
//! request ends at its deadline, or as its caller leaves, and nothing has shown a loss by then. The same
//! request comes again some seconds later, and stops the next machine.
//!
//! Silence alone proves nothing: sound targets stand still for a second, and links hang. So the request
//! is kept until its target goes on, which clears it, or is found to have ended: it is listed under
//! another incarnation, or no longer listed. Then the target was lost under the request, unless what the
//! request consists of was answered elsewhere meanwhile.

use std::collections::{BTreeMap, HashMap, VecDeque};

use thistlesill_core::{Fingerprint, Millis};

use super::{AnswerPhase, RequestKeys};

/// How long a request is kept: longer than an entry takes to lapse and a machine to start again.
const RETENTION: Millis = Millis::new(20_000);
/// Time from the first sign of life of a target until one that proves that it goes on: what it reads first
/// has crashed it by then, or does not.
const PROOF_TIME: Millis = Millis::new(500);
/// Time after which a target that has shown life, and has not ended, has gone on.
const MAX_PROOF_TIME: Millis = Millis::new(5_000);
/// Maximum number of requests that are kept; each takes some 200 bytes. The oldest are dropped first.
const MAX_KEPT: usize = 1_024;

/// A request that ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnansweredRequest {
    /// The id of the request, for logs.
    pub id: String,
    /// The keys under which evidence about the request is kept.
    pub keys: RequestKeys,
    /// The suspects of which the request is the trial. The trial goes on while the request is kept.
    pub tried: Vec<Fingerprint>,
    /// How far the answer had come.
    pub phase: AnswerPhase,
    /// When the target last sent something of the answer, or was sent the request.
    pub seen: Millis,
    /// When the request ended.
    pub ended: Millis,
    /// When the answer began, if it came whole and the target has not shown life since.
    pub answered: Option<Millis>,
}

/// What is known of a target that was silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is listed, and last sent something at this time.
    Listed(Millis),
    /// It left as planned.
    Left,
    /// It has ended without notice.
    Ended,
}

/// What follows for a request that was kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding<T> {
    /// Its target has ended, and is lost under the request.
    Lost(T, UnansweredRequest),
    /// Its target lives, or nothing became known of it in time.
    Dropped(UnansweredRequest),
    /// A target that was taken for lost under requests with these keys is listed again.
    Returned(T, Vec<Fingerprint>),
}

/// A request that is kept, with its target.
#[derive(Debug, Clone)]
struct Kept<T> {
    target: T,
    request: UnansweredRequest,
    /// When the target first showed life after the end of the request.
    woke: Option<Millis>,
}

impl<T> Kept<T> {
    /// Returns whether a target that last sent something at `last` goes on, or nothing became known of
    /// it in time.
    fn is_over(&mut self, last: Millis, now: Millis) -> bool {
        let ended = self.request.ended;
        if self.woke.is_none() && last > ended {
            self.woke = Some(last);
        }
        let goes_on = |woke| last - woke >= PROOF_TIME || now - woke >= MAX_PROOF_TIME;
        self.woke.is_some_and(goes_on) || now - ended >= RETENTION
    }
}

/// Requests that ended without an answer; `T` identifies one incarnation of a target.
#[derive(Debug, Clone)]
pub struct Unanswered<T> {
    kept: VecDeque<Kept<T>>,
    /// When the last answer began that was whole or past its start, by the keys of kept requests.
    sound: HashMap<Fingerprint, Millis>,
    /// Targets that were taken for lost, with the keys of the requests and the time.
    lost: BTreeMap<T, (Vec<Fingerprint>, Millis)>,
}

impl<T> Default for Unanswered<T> {
    fn default() -> Self {
        Self {
            kept: VecDeque::new(),
            sound: HashMap::new(),
            lost: BTreeMap::new(),
        }
    }
}

impl<T: Clone + Ord> Unanswered<T> {
    /// Returns whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty() && self.lost.is_empty()
    }

    /// Returns whether a request with a key is kept, or was while others are.
    #[must_use]
    pub fn has_request(&self, key: Fingerprint) -> bool {
        self.sound.contains_key(&key)
    }

    /// Returns whether it is still open what became of a target, or the target was taken for lost lately.
    #[must_use]
    pub fn has_target(&self, target: &T) -> bool {
        let mut kept = self.kept.iter();
        self.lost.contains_key(target) || kept.any(|kept| kept.target == *target)
    }

    /// Keeps a request that ended without an answer at a target. Returns the request that is dropped
    /// for want of room.
    pub fn keep(&mut self, target: T, request: UnansweredRequest) -> Option<UnansweredRequest> {
        for key in request.keys.iter() {
            self.sound.entry(key).or_insert(Millis::ZERO);
        }
        // A whole answer is a sign of life.
        let woke = request.answered.map(|_| request.ended);
        self.kept.push_back(Kept {
            target,
            request,
            woke,
        });
        let is_full = self.kept.len() > MAX_KEPT;
        let dropped = is_full.then(|| self.kept.pop_front()).flatten();
        dropped.map(|kept| kept.request)
    }

    /// Records that the answer to a request with these keys, which began at `began`, was whole or is
    /// past its start.
    pub fn note_sound(&mut self, keys: impl IntoIterator<Item = Fingerprint>, began: Millis) {
        for key in keys {
            if let Some(last) = self.sound.get_mut(&key) {
                *last = began.max(*last);
            }
        }
    }

    /// Returns what follows from the fates of the targets, and keeps the other requests.
    pub fn review(&mut self, fate: impl Fn(&T) -> Fate, now: Millis) -> Vec<Finding<T>> {
        let mut findings = Vec::new();
        for mut kept in std::mem::take(&mut self.kept) {
            match fate(&kept.target) {
                Fate::Listed(last) if !kept.is_over(last, now) => self.kept.push_back(kept),
                Fate::Listed(_) | Fate::Left => findings.push(Finding::Dropped(kept.request)),
                Fate::Ended => findings.push(self.find_lost(kept, now)),
            }
        }
        let returned = |target: &T, _: &mut (Vec<Fingerprint>, Millis)| {
            matches!(fate(target), Fate::Listed(_))
        };
        let returned = self.lost.extract_if(.., returned);
        findings.extend(returned.map(|(target, (keys, _))| Finding::Returned(target, keys)));
        self.lost.retain(|_, (_, at)| now - *at < RETENTION);
        if self.kept.is_empty() {
            self.sound.clear();
        }
        findings
    }

    /// Decides on a request whose target has ended: what was answered elsewhere since is no suspect.
    fn find_lost(&mut self, kept: Kept<T>, now: Millis) -> Finding<T> {
        let Kept {
            target,
            mut request,
            woke,
        } = kept;
        if let (AnswerPhase::Waiting(_), Some(woke)) = (request.phase, woke) {
            // It was not read before.
            request.phase = AnswerPhase::Waiting(woke);
        }
        let sound = |key: &Fingerprint| {
            let last = self.sound.get(key);
            last.is_some_and(|began| *began > request.seen)
        };
        if sound(&request.keys.whole) {
            return Finding::Dropped(request);
        }
        request.keys.parts.retain(|part| !sound(part));
        let (keys, _) = self
            .lost
            .entry(target.clone())
            .or_insert_with(|| (Vec::new(), now));
        keys.extend(request.keys.iter());
        Finding::Lost(target, request)
    }
}
