//! What is measured over a trace.

use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;

use crate::stage::{Answer, Stage, Tally};

/// Between two samples of what stands.
pub const SAMPLE: Millis = Millis::new(500);

/// The measures of a trace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Seconds of groups that had served after the warm-up and did not.
    pub downtime: f64,
    /// Seconds of healthy accelerators in no whole group.
    pub stranded: f64,
    /// Groups that served after the warm-up.
    pub groups: u32,
    /// Accelerators in all.
    pub accelerators: u32,
    /// What became of the requests.
    pub requests: Tally,
    /// Milliseconds to the first token, by quantile.
    pub first_token: Quantiles,
    /// Requests that got no first token in time, or no answer, in hundredths
    /// of all.
    pub late_percent: f64,
    /// Of the customer served worst and the one served best, whole answers
    /// in hundredths of those asked.
    pub fairness: Fairness,
    /// Orders given to targets.
    pub orders: u64,
    /// Transactions of the table.
    pub transactions: u64,
}

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: u64,
    /// 95 in 100.
    pub p95: u64,
    /// 99 in 100.
    pub p99: u64,
}

/// The spread between customers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Fairness {
    /// The least.
    pub worst: f64,
    /// The most.
    pub best: f64,
}

/// Collects measures while a trace plays.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    base: Option<Base>,
    downtime: f64,
    stranded: f64,
}

#[derive(Debug, Clone, Copy)]
struct Base {
    groups: u32,
    accelerators: u32,
    orders: u64,
    transactions: u64,
}

impl Meter {
    /// Takes what stands now as what should stand.
    pub fn begin(&mut self, stage: &Stage) {
        let (_, all) = stage.accelerators();
        self.base = Some(Base {
            groups: stage.whole_groups().len() as u32,
            accelerators: all,
            orders: stage.orders(),
            transactions: stage.table().counts().0,
        });
    }

    /// Measures one [`SAMPLE`] of time.
    pub fn sample(&mut self, stage: &Stage) {
        let Some(base) = self.base else { return };
        let seconds = SAMPLE.get() as f64 / 1_000.0;
        let whole = stage.whole_groups().len() as u32;
        let (used, all) = stage.accelerators();
        self.downtime += f64::from(base.groups.saturating_sub(whole)) * seconds;
        self.stranded += f64::from(all - used) * seconds;
    }

    /// The measures at the end.
    pub fn end(&self, stage: &Stage, from: Millis) -> Measures {
        let base = self.base.unwrap_or(Base {
            groups: 0,
            accelerators: 0,
            orders: 0,
            transactions: 0,
        });
        let begin = stage.now() - stage.elapsed() + from;
        let asked: Vec<_> = stage.asked().values().filter(|a| a.at >= begin).collect();
        let mut firsts: Vec<u64> = asked
            .iter()
            .filter_map(|a| a.first.map(|t| (t - a.at).get()))
            .collect();
        firsts.sort_unstable();
        let bad = asked.iter().filter(|a| is_late(a)).count();
        Measures {
            downtime: round(self.downtime),
            stranded: round(self.stranded),
            groups: base.groups,
            accelerators: base.accelerators,
            requests: stage.tally().clone(),
            first_token: Quantiles {
                p50: quantile(&firsts, 50),
                p95: quantile(&firsts, 95),
                p99: quantile(&firsts, 99),
            },
            late_percent: percent(bad, asked.len()),
            fairness: fairness(&asked),
            orders: stage.orders() - base.orders,
            transactions: stage.table().counts().0 - base.transactions,
        }
    }
}

fn is_late(asked: &crate::stage::Asked) -> bool {
    match asked.answers.first() {
        Some((at, Answer::Whole | Answer::Recorded)) => *at > asked.due,
        Some((_, Answer::Failed(_))) | None => true,
    }
}

fn fairness(asked: &[&crate::stage::Asked]) -> Fairness {
    let mut by: std::collections::BTreeMap<&str, (usize, usize)> =
        std::collections::BTreeMap::new();
    for request in asked {
        let entry = by.entry(request.customer.as_str()).or_default();
        entry.0 += 1;
        entry.1 += usize::from(!is_late(request));
    }
    let shares: Vec<f64> = by
        .values()
        .map(|(all, good)| percent(*good, *all))
        .collect();
    Fairness {
        worst: shares.iter().copied().reduce(f64::min).unwrap_or(100.0),
        best: shares.iter().copied().reduce(f64::max).unwrap_or(100.0),
    }
}

fn quantile(sorted: &[u64], hundredths: usize) -> u64 {
    let at = (sorted.len() * hundredths).div_ceil(100);
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0)
}

fn percent(part: usize, all: usize) -> f64 {
    if all == 0 {
        return 0.0;
    }
    round(part as f64 * 100.0 / all as f64)
}

/// Rounds to tenths, so that figures are the same on every machine.
fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
