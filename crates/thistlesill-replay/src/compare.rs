//! Compares the production policies with baselines, as a text table.

use thistlesill_policy::pick::PickRule;
use thistlesill_policy::plan::Strategy;

use crate::measure::Measures;
use crate::player::{Decisions, play};
use crate::trace::LoadedTrace;

/// One row of a comparison.
#[derive(Debug, Clone, PartialEq)]
pub struct ComparisonRow {
    /// Name of the policies that the trace was replayed with.
    pub name: &'static str,
    /// Measures of the replay.
    pub measures: Measures,
}

/// Replays a trace with each placement strategy.
pub fn compare_strategies(loaded: &LoadedTrace) -> Vec<ComparisonRow> {
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

/// Replays a trace with each rule for picking a group.
pub fn compare_pick_rules(loaded: &LoadedTrace) -> Vec<ComparisonRow> {
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

/// Replays a trace once per entry of `list`, each on its own thread.
fn play_all(loaded: &LoadedTrace, list: &[(&'static str, Decisions)]) -> Vec<ComparisonRow> {
    std::thread::scope(|scope| {
        let run = |(name, decisions): &(&'static str, Decisions)| {
            let (name, decisions) = (*name, *decisions);
            let replay = scope.spawn(move || play(loaded, decisions));
            (name, replay)
        };
        let threads: Vec<_> = list.iter().map(run).collect();
        let row =
            |(name, replay): (&'static str, std::thread::ScopedJoinHandle<'_, _>)| ComparisonRow {
                name,
                measures: replay.join().expect("the replay thread panicked"),
            };
        threads.into_iter().map(row).collect()
    })
}

/// Formats rows as a table with a header line.
pub fn format_table(rows: &[ComparisonRow]) -> String {
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
