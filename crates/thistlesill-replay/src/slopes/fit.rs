//! Straight lines through measured points.

use std::fmt::Write;
use std::time::Instant;

/// A measured point: a size, and what it cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The cost.
    pub cost: f64,
}

/// What something costs by its size.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// What was measured.
    pub name: &'static str,
    /// The unit of the size.
    pub per: &'static str,
    /// The unit of the cost.
    pub unit: &'static str,
    /// The points.
    pub points: Vec<Point>,
}

impl Slope {
    /// The cost at size 0 and the cost of each further unit of size, by
    /// least squares.
    pub fn fit(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let mean = |f: fn(&Point) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.size), mean(|p| p.cost));
        let cov: f64 = self
            .points
            .iter()
            .map(|p| (p.size - mx) * (p.cost - my))
            .sum();
        let var: f64 = self.points.iter().map(|p| (p.size - mx).powi(2)).sum();
        let slope = if var > 0.0 { cov / var } else { 0.0 };
        (my - slope * mx, slope)
    }
}

/// A slope as a line of text.
pub fn format_line(slope: &Slope) -> String {
    let (base, each) = slope.fit();
    let mut out = format!("{:<34}", slope.name);
    for point in &slope.points {
        let _ = write!(out, " {:>9.1}@{:<6}", point.cost, point.size);
    }
    let (unit, per) = (slope.unit, slope.per);
    let _ = writeln!(out, "  = {base:.2} + {each:.4} {unit} per {per}");
    out
}

/// The least time of one run of `f` over several rounds, in microseconds.
pub(super) fn micros(rounds: usize, each: usize, mut f: impl FnMut(usize)) -> f64 {
    let mut best = f64::MAX;
    for round in 0..rounds {
        let begun = Instant::now();
        for n in 0..each {
            f(round * each + n);
        }
        best = best.min(begun.elapsed().as_secs_f64() * 1e6 / each as f64);
    }
    best
}
