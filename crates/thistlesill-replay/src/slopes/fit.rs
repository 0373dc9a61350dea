//! Linear fits through measured points.

use std::fmt::Write;
use std::time::Instant;

/// A measured cost at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size, in the unit [`Slope::per`].
    pub size: f64,
    /// The cost, in [`Slope::unit`].
    pub cost: f64,
}

/// The cost of an operation as a function of its size.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// Name of the measured operation.
    pub name: &'static str,
    /// Unit of the size.
    pub per: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
}

impl Slope {
    /// Returns the cost at size 0 and the cost per unit of size, fitted by least squares.
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

/// Formats a slope as a line with its points and its fit.
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

/// Returns the mean time of a call of `f` in the fastest of several rounds of `each` calls, in
/// microseconds.
pub(super) fn min_micros(rounds: usize, each: usize, mut f: impl FnMut(usize)) -> f64 {
    let mut best = f64::MAX;
    for round in 0..rounds {
        let started = Instant::now();
        for n in 0..each {
            f(round * each + n);
        }
        best = best.min(started.elapsed().as_secs_f64() * 1e6 / each as f64);
    }
    best
}
