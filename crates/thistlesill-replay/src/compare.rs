//! The shipped decisions beside the baselines, as a table.

use thistlesill_policy::pick::PickRule;
use thistlesill_policy::plan::Strategy;

use crate::measure::Measures;
use crate::player::{Decisions, play};
use crate::trace::Loaded;

/// One line of a comparison.
#[derive(Debug, Clone, PartialEq)]
pub struct Compared {
    /// What was played with.
    pub name: &'static str,
    /// The measures.
    pub measures: Measures,
}

/// Plays a trace with each placement.
pub fn placements(loaded: &Loaded) -> Vec<Compared> {
    let list = [
        ("weighed (shipped)", Strategy::Weighed),
        ("first fit, no spare", Strategy::FirstFit),
        ("rebuild from scratch", Strategy::Rebuild),
    ];
    let decisions = |(name, strategy)| {
        let rule = PickRule::default();
        (name, Decisions { strategy, rule })
    };
    play_all(loaded, &list.map(decisions))
}

/// Plays a trace with each rule of picking.
pub fn rules(loaded: &Loaded) -> Vec<Compared> {
    let list = [
        ("corrected (shipped)", PickRule::Corrected),
        ("least reported", PickRule::LeastReported),
        ("random of two", PickRule::TwoReported),
        ("round robin", PickRule::RoundRobin),
    ];
    let decisions = |(name, rule)| {
        let strategy = Strategy::default();
        (name, Decisions { strategy, rule })
    };
    play_all(loaded, &list.map(decisions))
}

/// Plays a trace with several decisions, each on a thread of its own.
fn play_all(loaded: &Loaded, list: &[(&'static str, Decisions)]) -> Vec<Compared> {
    std::thread::scope(|scope| {
        let run = |(name, decisions): &(&'static str, Decisions)| {
            let (name, decisions) = (*name, *decisions);
            let played = scope.spawn(move || play(loaded, decisions));
            (name, played)
        };
        let threads: Vec<_> = list.iter().map(run).collect();
        let row = |(name, played): (&'static str, std::thread::ScopedJoinHandle<'_, _>)| Compared {
            name,
            measures: played.join().expect("a play ends"),
        };
        threads.into_iter().map(row).collect()
    })
}

/// The measures as lines of text.
pub fn table(rows: &[Compared]) -> String {
    let mut out = format!(
        "{:<22}{:>10}{:>11}{:>8}{:>8}{:>7}{:>7}{:>9}{:>9}{:>8}{:>8}{:>8}\n",
        "",
        "downtime",
        "stranded",
        "whole",
        "late %",
        "shed",
        "lost",
        "p50 ms",
        "p95 ms",
        "worst",
        "retries",
        "orders"
    );
    for row in rows {
        let m = &row.measures;
        out.push_str(&format!(
            "{:<22}{:>10.0}{:>11.0}{:>8}{:>8.1}{:>7}{:>7}{:>9}{:>9}{:>8.1}{:>8}{:>8}\n",
            row.name,
            m.downtime,
            m.stranded,
            m.requests.whole,
            m.late_percent,
            m.requests.shed,
            m.requests.lost,
            m.first_token.p50,
            m.first_token.p95,
            m.fairness.worst,
            m.requests.retries,
            m.orders,
        ));
    }
    out
}
