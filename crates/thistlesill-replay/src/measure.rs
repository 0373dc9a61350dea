//! Measures of a replayed trace: downtime, latency, fairness and counts.

use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;

use crate::stage::{Answer, Simulation, Tally};

/// Interval between two samples of the groups' state.
pub const SAMPLE_INTERVAL: Millis = Millis::new(500);

/// The measures of a trace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Group-seconds of downtime: for each sample, the groups missing from those that were
    /// complete after the warm-up.
    pub downtime: f64,
    /// Accelerator-seconds during which a healthy accelerator was in no complete group.
    pub stranded: f64,
    /// Groups that were complete after the warm-up.
    pub groups: u32,
    /// Healthy accelerators after the warm-up.
    pub accelerators: u32,
    /// Counts of all requests by outcome, including those of the warm-up.
    pub requests: Tally,
    /// Time to the first token of requests after the warm-up, in milliseconds.
    pub first_token: Quantiles,
    /// Percentage of requests after the warm-up that were answered late, failed, or got no
    /// answer.
    pub late_percent: f64,
    /// Percentage of requests answered in time, for the customers with the lowest and the
    /// highest.
    pub fairness: Fairness,
    /// Orders sent to targets after the warm-up.
    pub orders: u64,
    /// Transactions sent to the table after the warm-up.
    pub transactions: u64,
}

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// The spread between customers, in percent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Fairness {
    /// Lowest percentage of any customer.
    pub worst: f64,
    /// Highest percentage of any customer.
    pub best: f64,
}

/// Collects measures while a trace is replayed.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    base: Option<Baseline>,
    downtime: f64,
    stranded: f64,
}

#[derive(Debug, Clone, Copy)]
struct Baseline {
    groups: u32,
    accelerators: u32,
    orders: u64,
    transactions: u64,
}

impl Meter {
    /// Records the current state as the baseline that later samples are compared with.
    pub fn begin(&mut self, sim: &Simulation) {
        let (_, all) = sim.accelerators();
        self.base = Some(Baseline {
            groups: sim.complete_groups().len() as u32,
            accelerators: all,
            orders: sim.orders(),
            transactions: sim.table().counts().0,
        });
    }

    /// Adds one [`SAMPLE_INTERVAL`] in the current state. Does nothing before [`Self::begin`].
    pub fn sample(&mut self, sim: &Simulation) {
        let Some(base) = self.base else { return };
        let seconds = SAMPLE_INTERVAL.get() as f64 / 1_000.0;
        let complete = sim.complete_groups().len() as u32;
        let (used, all) = sim.accelerators();
        self.downtime += f64::from(base.groups.saturating_sub(complete)) * seconds;
        self.stranded += f64::from(all - used) * seconds;
    }

    /// Returns the measures; latencies and shares cover the requests from `from` on, counted from
    /// the start.
    pub fn end(&self, sim: &Simulation, from: Millis) -> Measures {
        let base = self.base.unwrap_or(Baseline {
            groups: 0,
            accelerators: 0,
            orders: 0,
            transactions: 0,
        });
        let begin = sim.now() - sim.elapsed() + from;
        let requests: Vec<_> = sim.requests().values().filter(|a| a.at >= begin).collect();
        let mut first_token_ms: Vec<u64> = requests
            .iter()
            .filter_map(|a| a.first.map(|t| (t - a.at).get()))
            .collect();
        first_token_ms.sort_unstable();
        let late = requests.iter().filter(|a| is_late(a)).count();
        Measures {
            downtime: round(self.downtime),
            stranded: round(self.stranded),
            groups: base.groups,
            accelerators: base.accelerators,
            requests: sim.tally().clone(),
            first_token: Quantiles {
                p50: quantile(&first_token_ms, 50),
                p95: quantile(&first_token_ms, 95),
                p99: quantile(&first_token_ms, 99),
            },
            late_percent: percent(late, requests.len()),
            fairness: fairness(&requests),
            orders: sim.orders() - base.orders,
            transactions: sim.table().counts().0 - base.transactions,
        }
    }
}

fn is_late(request: &crate::stage::RequestRecord) -> bool {
    match request.answers.first() {
        Some((at, Answer::Whole | Answer::Recorded)) => *at > request.due,
        Some((_, Answer::Failed(_))) | None => true,
    }
}

fn fairness(requests: &[&crate::stage::RequestRecord]) -> Fairness {
    let mut counts: std::collections::BTreeMap<&str, (usize, usize)> =
        std::collections::BTreeMap::new();
    for request in requests {
        let entry = counts.entry(request.customer.as_str()).or_default();
        entry.0 += 1;
        entry.1 += usize::from(!is_late(request));
    }
    let shares: Vec<f64> = counts
        .values()
        .map(|(all, in_time)| percent(*in_time, *all))
        .collect();
    Fairness {
        worst: shares.iter().copied().reduce(f64::min).unwrap_or(100.0),
        best: shares.iter().copied().reduce(f64::max).unwrap_or(100.0),
    }
}

fn quantile(sorted: &[u64], percentile: usize) -> u64 {
    let at = (sorted.len() * percentile).div_ceil(100);
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0)
}

fn percent(part: usize, all: usize) -> f64 {
    if all == 0 {
        return 0.0;
    }
    round(part as f64 * 100.0 / all as f64)
}

/// Rounds to tenths, so that the measures are equal on every machine.
fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
