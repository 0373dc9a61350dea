//! Explanation of one refusal from the log lines of edge daemons.
//!
//! The attempts of one caller have different ids; they are joined by the field `caller`, which only
//! lines of ranked requests have that were refused or whose caller was refused before.

use std::collections::{BTreeMap, HashSet};
use std::fmt;

use serde::Serialize;
use thistlesill_core::ErrorKind;
use thistlesill_core::error::Ran;

use crate::lines::{Fields, field, fields};

/// Longest time between two attempts of one caller. Callers retry within the deadline of their
/// first attempt; an identical request that comes later belongs to another caller.
const MAX_GAP_MS: u64 = 30_000;

/// One request of a caller, from the last log lines of the daemons that had it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// When the request arrived, in Unix milliseconds.
    pub arrived_ms: u64,
    /// How long it took until its end.
    pub took_ms: u64,
    /// The daemon that answered; only lines with `caller` name it.
    pub daemon: Option<String>,
    /// The data centre of the daemon.
    pub hall: Option<String>,
    /// The daemon that the request was last passed to.
    pub peer: Option<String>,
    /// Whether the daemon got the request from another one.
    pub passed_on: bool,
    /// The daemon that passed the request on, if its line names it.
    pub passed_by: Option<String>,
    /// How it ended.
    pub outcome: String,
    /// The status of the answer.
    pub status: Option<u16>,
    /// The route.
    pub route: Option<String>,
    /// The priorities of the customer and of the route.
    pub urgency: Option<String>,
    /// The decision by the request's rank.
    pub decision: Option<String>,
    /// The ground of a refusal by rank.
    pub ground: Option<String>,
    /// Why it ended so, where the outcome does not tell it.
    pub why: Option<String>,
    /// When its target would have begun it, by the prediction.
    pub begin_ms: Option<u64>,
    /// The objective of the route.
    pub aim_ms: Option<u64>,
    /// When its first event went to the caller.
    pub first_ms: Option<u64>,
    /// The retry time that the caller was given.
    pub back_ms: Option<u64>,
    /// Whether the retry time was booked.
    pub booked: bool,
    /// How the caller returned to a booking.
    #[serde(rename = "return")]
    pub standing: Option<String>,
    /// What was late of the answer.
    pub late: Option<String>,
    /// What all attempts of the caller have in common.
    pub caller: Option<String>,
}

impl Attempt {
    /// Returns the attempt of a request's last line; `None` for other lines.
    fn read(line: &str) -> Option<Self> {
        let fields = fields(line);
        if fields.get("ev") != Some(&"request") {
            return None;
        }
        let text = |name: &str| fields.get(name).map(|value| (*value).to_owned());
        let number = |name: &str| fields.get(name).and_then(|value| value.parse().ok());
        let took_ms = number("took_ms").unwrap_or(0);
        Some(Self {
            id: text("id")?,
            arrived_ms: end_ms(&fields)?.saturating_sub(took_ms),
            took_ms,
            daemon: text("daemon"),
            hall: text("hall"),
            peer: text("peer"),
            passed_on: false,
            passed_by: None,
            outcome: text("outcome")?,
            status: fields.get("status").and_then(|value| value.parse().ok()),
            route: text("route"),
            urgency: text("urgency"),
            decision: text("decision"),
            ground: text("ground"),
            why: text("why"),
            begin_ms: number("begin_ms"),
            aim_ms: number("aim_ms"),
            first_ms: number("first_ms"),
            back_ms: number("back_ms"),
            booked: fields.get("booked") == Some(&"true"),
            standing: text("return"),
            late: text("late"),
            caller: text("caller"),
        })
    }

    /// Returns whether the request was answered with an error that says that it has not run.
    fn is_refused(&self) -> bool {
        self.error()
            .is_some_and(|kind| kind.answer().ran == Ran::No)
    }

    /// Returns whether the answer is an error that the daemon got from a peer. The peer's line tells
    /// whether the peer refused the request.
    fn is_error_of_peer(&self) -> bool {
        let is_error = self.status.is_some_and(|status| status >= 400);
        self.peer.is_some() && self.outcome == "answered" && is_error
    }

    /// Returns whether a line of another daemon agrees with the end that this one, which passed the
    /// request on, gave the caller.
    fn agrees_with(&self, other: &Self) -> bool {
        let both_refused = self.is_refused() && other.is_refused();
        self.is_error_of_peer() || both_refused || self.outcome == other.outcome
    }

    fn error(&self) -> Option<ErrorKind> {
        let known = ErrorKind::ALL.iter().copied();
        known.into_iter().find(|kind| kind.name() == self.outcome)
    }

    /// Returns why a refused request was refused, as a sentence.
    fn reason(&self) -> String {
        let sentence = match self.ground.as_deref() {
            Some("less_urgent") => {
                "it was less urgent: more urgent requests would have been late or served less often"
            }
            Some("over_share") => {
                "its customer was above its fair share, and others of its urgency needed the room"
            }
            Some("no_room") => "no target had room to begin it in time, nor to serve it late",
            Some("early") => "its caller came back before its booked time",
            _ => return self.other_reason(),
        };
        sentence.to_owned()
    }

    fn other_reason(&self) -> String {
        let ground = self
            .ground
            .as_ref()
            .map(|ground| format!("ground {ground}"));
        let text = ground.or_else(|| self.why.clone());
        let known = self.error().map(|kind| kind.answer().text.to_owned());
        text.or(known).unwrap_or_else(|| self.outcome.clone())
    }

    /// Returns how the request ended, in a few words; its caller's first attempt arrived at `start`.
    fn end(&self, start: u64) -> String {
        if !self.is_refused() {
            if let Some(status) = self.status.filter(|_| self.is_error_of_peer()) {
                return format!("answered with status {status} by a peer, whose line is missing");
            }
            return match (self.outcome.as_str(), self.late.as_deref()) {
                ("answered", Some("first")) => "answered, with a late first event".to_owned(),
                ("answered", Some(_)) => "answered, with too long a pause".to_owned(),
                ("answered", None) if self.is_late_since(start) => {
                    "answered, late from the first attempt on".to_owned()
                }
                ("answered", None) => "answered in time".to_owned(),
                ("caller_left", _) => "not answered, since its caller left".to_owned(),
                (other, _) => format!("ended with {other}"),
            };
        }
        let ground = self.ground.as_deref().unwrap_or(&self.outcome);
        format!("refused ({ground}), {}", self.retry())
    }

    /// Returns whether the first event missed the objective, which counts from the first attempt;
    /// `late` in a line counts from the arrival of its own request.
    fn is_late_since(&self, start: u64) -> bool {
        let took = self.first_ms.unwrap_or(self.took_ms);
        let since = (self.arrived_ms - start).saturating_add(took);
        self.aim_ms.is_some_and(|aim| since > aim)
    }

    /// Returns when a refused caller was asked to retry.
    fn retry(&self) -> String {
        match self.back_ms {
            Some(back) if self.booked => {
                format!("asked to retry after {back} ms, which was booked")
            }
            Some(back) => format!("asked to retry after {back} ms, without a booking"),
            None => "given no specific retry time".to_owned(),
        }
    }

    /// Returns the daemon and data centre, and which other daemon had the request.
    fn place(&self) -> String {
        let place = match (&self.daemon, &self.hall) {
            (Some(daemon), Some(hall)) => format!("{daemon} in {hall}"),
            _ => "an unnamed daemon".to_owned(),
        };
        match (&self.peer, &self.passed_by) {
            (Some(peer), _) => format!("{place}, passed on to {peer}"),
            (None, Some(daemon)) => format!("{place}, passed on by {daemon}"),
            (None, None) if self.passed_on => format!("{place}, passed on by another daemon"),
            (None, None) => place,
        }
    }
}

/// Returns the time of a line in Unix milliseconds.
fn end_ms(fields: &Fields<'_>) -> Option<u64> {
    let (seconds, millis) = fields.get("t")?.split_once('.')?;
    let seconds: u64 = seconds.parse().ok()?;
    let millis = millis.parse().ok().filter(|ms| *ms < 1_000)?;
    seconds.checked_mul(1_000)?.checked_add(millis)
}

/// Why a request was refused, and what became of its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Whether the request was refused.
    pub refused: bool,
    /// The request.
    pub request: Attempt,
    /// All known attempts of the caller in the order of their arrival, among them the request.
    pub attempts: Vec<Attempt>,
}

/// Explains the request with this id by the lines of any number of daemons, in any order; `None` if
/// no line of its end is known.
///
/// Goes through the lines three times, so that only those of the caller's attempts are held in memory.
pub fn explain<'a>(
    id: &'a str,
    lines: impl Iterator<Item = &'a str> + Clone,
) -> Option<Explanation> {
    let request = merge(read(lines.clone(), &HashSet::from([id]))).pop()?;
    let mut all = vec![request.clone()];
    if let Some(caller) = request.caller.as_deref() {
        // A daemon that passed an attempt on may have left out the caller, so its line is found by
        // the id.
        let of_caller = lines.clone().filter(|line| line.contains(caller));
        let of_caller = of_caller.filter(|line| field(line, "caller") == Some(caller));
        let ids = of_caller.filter_map(|line| field(line, "id"));
        let others = ids.filter(|other| *other != id).collect();
        all.extend(merge(read(lines, &others)));
        all.retain(|a| a.caller == request.caller);
    }
    all.sort_by_key(|attempt| attempt.arrived_ms);
    let at = all.iter().position(|a| a.id == id)?;
    Some(Explanation {
        refused: request.is_refused(),
        attempts: all[first(&all, at)..=last(&all, at)].to_vec(),
        request,
    })
}

/// Reads the last lines of requests with these ids.
fn read<'a>(lines: impl Iterator<Item = &'a str>, ids: &HashSet<&str>) -> Vec<Attempt> {
    let wanted = lines.filter(|line| field(line, "id").is_some_and(|id| ids.contains(id)));
    wanted.filter_map(Attempt::read).collect()
}

/// Joins the lines of each request. Each attempt of a caller has its own id, so lines with the same id
/// are of one attempt: a request that was passed to peers has a line at each daemon, and a file may be
/// given twice.
fn merge(lines: Vec<Attempt>) -> Vec<Attempt> {
    let mut by_id = BTreeMap::<String, Vec<Attempt>>::new();
    for line in lines {
        by_id.entry(line.id.clone()).or_default().push(line);
    }
    by_id.into_values().filter_map(merge_one).collect()
}

/// Returns the attempt of lines with the same id: the last line whose decision is known, unless it
/// contradicts what the daemon that passed the request on answered.
fn merge_one(mut lines: Vec<Attempt>) -> Option<Attempt> {
    let end_ms = |line: &Attempt| line.arrived_ms.saturating_add(line.took_ms);
    // Only the daemon that the caller asked passes a request on.
    let asked = lines.iter().filter(|line| line.peer.is_some());
    let asked = asked.max_by_key(|line| end_ms(line)).cloned();
    lines.retain(|line| asked.as_ref().is_none_or(|asked| asked.agrees_with(line)));
    let rank = |line: &Attempt| {
        let is_known = line.decision.is_some();
        (!line.is_error_of_peer(), is_known, end_ms(line))
    };
    let mut kept = lines.into_iter().max_by_key(rank)?;
    if let Some(asked) = asked.filter(|_| kept.peer.is_none()) {
        kept.passed_on = true;
        kept.passed_by = asked.daemon;
        // The caller's times count from the arrival at the daemon that it asked.
        kept.arrived_ms = asked.arrived_ms;
        kept.took_ms = asked.took_ms;
        kept.first_ms = asked.first_ms;
        kept.late = asked.late;
    }
    Some(kept)
}

/// Returns whether a caller that made the first attempt may have made the second one next: a caller
/// that is served does not retry, and one that returns does so soon.
fn continues(pair: &[Attempt]) -> bool {
    pair[0].is_refused() && pair[1].arrived_ms - pair[0].arrived_ms <= MAX_GAP_MS
}

/// Returns the index of the caller's first attempt.
fn first(all: &[Attempt], at: usize) -> usize {
    let earlier = all[..=at]
        .windows(2)
        .rev()
        .take_while(|pair| continues(pair));
    at - earlier.count()
}

/// Returns the index of the caller's last attempt.
fn last(all: &[Attempt], at: usize) -> usize {
    let later = all[at..].windows(2).take_while(|pair| continues(pair));
    at + later.count()
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = &self.request;
        let start = self.attempts.first().map_or(0, |a| a.arrived_ms);
        if self.refused {
            let (id, reason) = (&request.id, request.reason());
            writeln!(f, "Request {id} was refused: {reason}.")?;
        } else if request.is_error_of_peer() {
            let (id, end) = (&request.id, request.end(start));
            writeln!(f, "Whether request {id} was refused is not known: {end}.")?;
        } else {
            writeln!(
                f,
                "Request {} was not refused: {}.",
                request.id,
                request.end(start)
            )?;
        }
        let route = request.route.as_deref().unwrap_or("unknown");
        match request.urgency.as_deref().and_then(|u| u.split_once('.')) {
            Some((customer, priority)) => writeln!(
                f,
                "Its route is {route}, with priority {priority}; its customer has priority \
                 {customer} (lower is more urgent, the customer's counts first)."
            )?,
            None => writeln!(f, "Its route is {route}; its callers are not ranked.")?,
        }
        if let (Some(begin), Some(aim)) = (request.begin_ms, request.aim_ms) {
            writeln!(
                f,
                "Its target would begin it after {begin} ms; the objective is {aim} ms after the \
                 first attempt."
            )?;
        }
        if self.refused {
            writeln!(f, "Its caller was {}.", request.retry())?;
        }
        if request.caller.is_none() {
            return writeln!(f, "Other attempts of its caller are not known.");
        }
        writeln!(f, "Known attempts of its caller:")?;
        for attempt in &self.attempts {
            let (after, place) = (attempt.arrived_ms - start, attempt.place());
            writeln!(
                f,
                "  +{after} ms  {} at {place}: {}",
                attempt.id,
                attempt.end(start)
            )?;
        }
        // Only a caller that was refused before has the field without being refused.
        let first = self.attempts.first();
        if first.is_some_and(|a| a.standing.is_some() || !a.is_refused()) {
            writeln!(
                f,
                "Earlier attempts were refused, but their lines are missing."
            )?;
        }
        let is_over = self.attempts.last().is_some_and(|a| !a.is_refused());
        if !is_over {
            writeln!(f, "No later attempt is known.")?;
        }
        Ok(())
    }
}
