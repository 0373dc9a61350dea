//! Why callers were served late, or not at all, as the lines of edge daemons tell.
//!
//! Each request has one cause out of a closed list. Lines of all daemons go in together,
//! in any order: what happened to a request before its last line is joined by its id.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;

/// Milliseconds of waiting before a refusal from which on the wait itself is the loss.
const WAITED_MS: u64 = 50;
/// Part of a pause for which the target must have been waited for; else the caller's
/// connection took the rest.
const TARGET_PART: f64 = 0.5;

/// Why a request was served late or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its daemon had no young proof of the keys, knew nothing yet, or was stopping.
    NotReady,
    /// No group served its model.
    NoGroup,
    /// It was refused at once, since it would have begun too late.
    Overloaded,
    /// It was refused after it had waited.
    WaitedRefused,
    /// Targets were lost under it one after the other, and it is withheld.
    Withheld,
    /// Its target refused it without having run it.
    TargetShed,
    /// It was sent to a target that answered nothing, and went elsewhere afterwards.
    SilentTarget,
    /// Its target failed or its connection broke, and it went elsewhere afterwards.
    TargetFailed,
    /// Its target was lost midway, and another one took the stream up.
    TargetLost,
    /// It was lost with its target: it may have run.
    Lost,
    /// It waited at its daemon before it was sent.
    Waited,
    /// Prompts before it were unread at its target.
    UnreadPrompts,
    /// Its target was busy with others, or slow.
    BusyTarget,
    /// Its caller's connection took what it got too slowly.
    SlowCaller,
    /// Its caller left.
    CallerLeft,
}

impl Cause {
    /// The name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "daemon not ready",
            Self::NoGroup => "no group",
            Self::Overloaded => "refused at once",
            Self::WaitedRefused => "waited and refused",
            Self::Withheld => "withheld",
            Self::TargetShed => "shed by target",
            Self::SilentTarget => "silent target",
            Self::TargetFailed => "failed target",
            Self::TargetLost => "target lost midway",
            Self::Lost => "lost with target",
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

/// What became of the requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Requests that were answered, late or not.
    pub answered: u64,
    /// Those that were late or not served, by cause.
    pub losses: BTreeMap<Cause, u64>,
}

/// What became of all requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Losses {
    /// By route; what no route was found for is left out.
    pub routes: BTreeMap<String, Route>,
    /// Late or not served requests by the second in which they ended, of the day's time
    /// in the lines, and by cause.
    pub seconds: BTreeMap<u64, BTreeMap<Cause, u64>>,
    /// Lines that could not be read.
    pub unread: u64,
}

/// What is known of a request before its last line.
#[derive(Debug, Clone, Copy, Default)]
struct Before {
    silent: bool,
    failed: bool,
    resumed: bool,
}

/// Reads the lines of daemons and finds the cause of each loss.
pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Losses {
    let mut losses = Losses::default();
    let mut before: HashMap<&str, Before> = HashMap::new();
    let mut ends = Vec::new();
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
                let known = before.entry(id).or_default();
                let silent = fields.get("why").is_some_and(|w| w.contains("no answer"));
                known.silent |= silent;
                known.failed |= !silent;
            }
            "stream_resumed" => before.entry(id).or_default().resumed = true,
            "request" => ends.push(fields),
            _ => {}
        }
    }
    for end in ends {
        let known = end.get("id").and_then(|id| before.get(id));
        count(&mut losses, &end, known.copied().unwrap_or_default());
    }
    losses
}

type Fields<'a> = HashMap<&'a str, &'a str>;

/// The `name=value` pairs of a line; a value in quotes may hold blanks.
fn fields(line: &str) -> Fields<'_> {
    let mut found = Fields::new();
    let mut rest = line;
    while let Some((head, tail)) = rest.split_once('=') {
        let name = head.rsplit(char::is_whitespace).next().unwrap_or(head);
        let (value, later) = match tail.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => tail.split_once(char::is_whitespace).unwrap_or((tail, "")),
        };
        found.insert(name, value);
        rest = later;
    }
    found
}

fn count(losses: &mut Losses, end: &Fields<'_>, before: Before) {
    let Some(name) = end.get("route") else {
        return;
    };
    let answered = end.get("outcome") == Some(&"answered");
    let cause = cause(end, before);
    let route = losses.routes.entry((*name).to_owned()).or_default();
    route.answered += u64::from(answered);
    let Some(cause) = cause else {
        return;
    };
    *route.losses.entry(cause).or_default() += 1;
    let second = end.get("t").and_then(|t| t.split('.').next()?.parse().ok());
    if let Some(second) = second {
        let causes = losses.seconds.entry(second).or_default();
        *causes.entry(cause).or_default() += 1;
    }
}

fn number(end: &Fields<'_>, name: &str) -> u64 {
    end.get(name).and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Why a request was late or not served; `None` if it was in time, or was not to be
/// served.
fn cause(end: &Fields<'_>, before: Before) -> Option<Cause> {
    match *end.get("outcome")? {
        "answered" => late_cause(end, before),
        "not_ready" => Some(Cause::NotReady),
        "no_group" => Some(Cause::NoGroup),
        "overloaded" if number(end, "took_ms") >= WAITED_MS => Some(Cause::WaitedRefused),
        "overloaded" => Some(Cause::Overloaded),
        "withheld" => Some(Cause::Withheld),
        "target_refused" => Some(Cause::TargetShed),
        "sent_unknown" | "broke_off" | "late_answer" => Some(Cause::Lost),
        "caller_left" => Some(Cause::CallerLeft),
        _ => None,
    }
}

fn late_cause(end: &Fields<'_>, before: Before) -> Option<Cause> {
    let cause = match *end.get("late")? {
        "first" if before.silent => Cause::SilentTarget,
        "first" if before.failed => Cause::TargetFailed,
        "first" if number(end, "sent_ms") >= WAITED_MS => Cause::Waited,
        "first" if number(end, "sent_unread") > 0 => Cause::UnreadPrompts,
        "first" => Cause::BusyTarget,
        _ if before.resumed || number(end, "resumes") > 0 => Cause::TargetLost,
        _ if is_callers(end) => Cause::SlowCaller,
        _ if number(end, "pause_unread") > 0 => Cause::UnreadPrompts,
        _ => Cause::BusyTarget,
    };
    Some(cause)
}

/// Whether most of the longest pause was spent on the way to the caller.
fn is_callers(end: &Fields<'_>) -> bool {
    let waited = number(end, "pause_waited_ms") as f64;
    waited < number(end, "pause_ms") as f64 * TARGET_PART
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
