//! Causes of late answers and of requests that were not served, from the log lines of edge daemons.
//!
//! Each request has at most one cause, from a closed list. The lines of all daemons are read
//! together, in any order: earlier events of a request are joined to its last line by the id.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;

use crate::lines::{Fields, fields};

/// The shortest wait, before a refusal or before a request was sent, that counts as the cause.
const MIN_WAIT_MS: u64 = 50;
/// The part of a pause that must have been spent waiting for the target; otherwise the caller's
/// connection is the cause.
const MIN_TARGET_RATIO: f64 = 0.5;

/// The cause for which a request was served late or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The daemon had no recent proof of the keys, had no data yet, or was stopping.
    NotReady,
    /// No group served the model.
    NoGroup,
    /// The request was refused at once, because it would have started too late.
    Overloaded,
    /// The request was refused after it had waited.
    WaitedRefused,
    /// The request was refused because it would have made more urgent ones late.
    LessUrgent,
    /// The request was refused because its customer was above its fair share.
    OverShare,
    /// The request was refused because no target had room.
    NoRoom,
    /// The request was refused because its caller retried before its booked time.
    EarlyRetry,
    /// Several targets were lost while they ran the request, which is now withheld.
    Withheld,
    /// The target refused the request without running it.
    TargetShed,
    /// The request was sent to a target that did not answer, and then to another one.
    SilentTarget,
    /// The target failed or the connection to it broke, and the request was sent elsewhere.
    TargetFailed,
    /// The target was lost during the answer, and the stream was resumed at another one.
    TargetLost,
    /// The request was lost with its target and may have run.
    Lost,
    /// The request was sent although it could not be in time, behind those that could.
    AdmittedLate,
    /// The request waited at its daemon before it was sent.
    Waited,
    /// Earlier prompts at the target were not prefilled yet.
    UnreadPrompts,
    /// The target was busy with other requests, or slow.
    BusyTarget,
    /// The caller's connection accepted data too slowly.
    SlowCaller,
    /// The caller disconnected.
    CallerLeft,
}

impl Cause {
    /// Returns the cause's name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "daemon not ready",
            Self::NoGroup => "no group",
            Self::Overloaded => "refused at once",
            Self::WaitedRefused => "waited and refused",
            Self::LessUrgent => "refused: less urgent",
            Self::OverShare => "refused: over its share",
            Self::NoRoom => "refused: no room",
            Self::EarlyRetry => "refused: early retry",
            Self::Withheld => "withheld",
            Self::TargetShed => "shed by target",
            Self::SilentTarget => "silent target",
            Self::TargetFailed => "failed target",
            Self::TargetLost => "target lost midway",
            Self::Lost => "lost with target",
            Self::AdmittedLate => "admitted late",
            Self::Waited => "waited at daemon",
            Self::UnreadPrompts => "unread prompts",
            Self::BusyTarget => "busy or slow target",
            Self::SlowCaller => "slow caller",
            Self::CallerLeft => "caller left",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The results of the requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Route {
    /// The number of requests that were answered, late or not.
    pub answered: u64,
    /// The number of requests that were late or not served, by cause.
    pub losses: BTreeMap<Cause, u64>,
}

/// The results of all requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Losses {
    /// The results by route; requests without a route are left out.
    pub routes: BTreeMap<String, Route>,
    /// The number of late or not served requests, by the second in which they ended (from the
    /// lines' time of day) and by cause.
    pub seconds: BTreeMap<u64, BTreeMap<Cause, u64>>,
    /// The number of non-empty lines without an event name.
    pub unread: u64,
}

/// The events of a request before its last line.
#[derive(Debug, Clone, Copy, Default)]
struct EarlierEvents {
    unresponsive: bool,
    failed: bool,
    resumed: bool,
}

/// Reads the log lines of daemons and counts the causes of late or not served requests.
pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Losses {
    let mut losses = Losses::default();
    let mut earlier: HashMap<&str, EarlierEvents> = HashMap::new();
    let mut last_lines = Vec::new();
    for line in lines {
        let fields = fields(line);
        let Some(event) = fields.get("ev") else {
            losses.unread += u64::from(!line.trim().is_empty());
            continue;
        };
        let Some(id) = fields.get("id") else {
            continue;
        };
        match *event {
            "attempt_failed" => {
                let known = earlier.entry(id).or_default();
                let unresponsive = fields.get("why").is_some_and(|w| w.contains("no answer"));
                known.unresponsive |= unresponsive;
                known.failed |= !unresponsive;
            }
            "stream_resumed" => earlier.entry(id).or_default().resumed = true,
            "request" => last_lines.push(fields),
            _ => {}
        }
    }
    for last_line in last_lines {
        let known = last_line.get("id").and_then(|id| earlier.get(id));
        count(&mut losses, &last_line, known.copied().unwrap_or_default());
    }
    losses
}

fn count(losses: &mut Losses, last_line: &Fields<'_>, earlier: EarlierEvents) {
    let Some(name) = last_line.get("route") else {
        return;
    };
    let answered = last_line.get("outcome") == Some(&"answered");
    let cause = cause(last_line, earlier);
    let route = losses.routes.entry((*name).to_owned()).or_default();
    route.answered += u64::from(answered);
    let Some(cause) = cause else {
        return;
    };
    *route.losses.entry(cause).or_default() += 1;
    let second = last_line
        .get("t")
        .and_then(|t| t.split('.').next()?.parse().ok());
    if let Some(second) = second {
        let causes = losses.seconds.entry(second).or_default();
        *causes.entry(cause).or_default() += 1;
    }
}

fn number(last_line: &Fields<'_>, name: &str) -> u64 {
    last_line
        .get(name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

/// Returns why a request was late or not served, or `None` if it was in time or was rightly not
/// served.
fn cause(last_line: &Fields<'_>, earlier: EarlierEvents) -> Option<Cause> {
    match *last_line.get("outcome")? {
        "answered" => late_cause(last_line, earlier),
        "not_ready" => Some(Cause::NotReady),
        "no_group" => Some(Cause::NoGroup),
        "overloaded" => Some(refusal_cause(last_line)),
        "withheld" => Some(Cause::Withheld),
        "target_refused" => Some(Cause::TargetShed),
        "sent_unknown" | "broke_off" | "late_answer" => Some(Cause::Lost),
        "caller_left" => Some(Cause::CallerLeft),
        _ => None,
    }
}

/// Returns why a request was refused: the ground of the decision, which only services that rank
/// their callers log, or else whether the request had waited.
fn refusal_cause(last_line: &Fields<'_>) -> Cause {
    match last_line.get("ground").copied() {
        Some("less_urgent") => Cause::LessUrgent,
        Some("over_share") => Cause::OverShare,
        Some("no_room") => Cause::NoRoom,
        Some("early") => Cause::EarlyRetry,
        _ if number(last_line, "took_ms") >= MIN_WAIT_MS => Cause::WaitedRefused,
        _ => Cause::Overloaded,
    }
}

fn late_cause(last_line: &Fields<'_>, earlier: EarlierEvents) -> Option<Cause> {
    let cause = match *last_line.get("late")? {
        "first" if earlier.unresponsive => Cause::SilentTarget,
        "first" if earlier.failed => Cause::TargetFailed,
        "first" if last_line.get("decision") == Some(&"late") => Cause::AdmittedLate,
        "first" if number(last_line, "sent_ms") >= MIN_WAIT_MS => Cause::Waited,
        "first" if number(last_line, "sent_unread") > 0 => Cause::UnreadPrompts,
        "first" => Cause::BusyTarget,
        _ if earlier.resumed || number(last_line, "resumes") > 0 => Cause::TargetLost,
        _ if is_caller_slow(last_line) => Cause::SlowCaller,
        _ if number(last_line, "pause_unread") > 0 => Cause::UnreadPrompts,
        _ => Cause::BusyTarget,
    };
    Some(cause)
}

/// Returns whether most of the longest pause was spent on sending to the caller.
fn is_caller_slow(last_line: &Fields<'_>) -> bool {
    let waited = number(last_line, "pause_waited_ms") as f64;
    waited < number(last_line, "pause_ms") as f64 * MIN_TARGET_RATIO
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, route) in &self.routes {
            let lost: u64 = route.losses.values().sum();
            writeln!(
                f,
                "{name}: {} answered, {lost} late or not served",
                route.answered
            )?;
            let mut causes: Vec<_> = route.losses.iter().collect();
            causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
            for (cause, count) in causes {
                writeln!(f, "  {count:>7}  {cause}")?;
            }
        }
        if !self.seconds.is_empty() {
            writeln!(f, "by second:")?;
        }
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        for (second, causes) in &self.seconds {
            let lost: u64 = causes.values().sum();
            let most = causes.iter().max_by_key(|(_, count)| **count);
            let most = most.map(|(cause, count)| format!("{count} {cause}"));
            writeln!(
                f,
                "  +{:<4} {lost:>6}  {}",
                second - first,
                most.unwrap_or_default()
            )?;
        }
        if self.unread > 0 {
            writeln!(f, "{} lines are no daemon's", self.unread)?;
        }
        Ok(())
    }
}
