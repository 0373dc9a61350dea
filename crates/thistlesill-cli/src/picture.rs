//! The time line as a self-contained picture: a lane for each daemon, a
//! numbered dot for each event, and the events in words below.

use std::collections::BTreeSet;
use std::fmt::Write;

use thistlesill_core::NodeId;
use thistlesill_core::timeline::{Record, TimelineEvent};

use crate::explain::sentence;

const WIDTH: f64 = 1_100.0;
const LEFT: f64 = 150.0;
const RIGHT: f64 = 30.0;
/// The height of a lane without a stack.
const LANE: f64 = 40.0;
const TOP: f64 = 60.0;
const LINE: f64 = 18.0;
/// Dots nearer than this are drawn one above the other.
const NEAR: f64 = 16.0;
const DOT: f64 = 7.0;

/// Where an event's dot goes.
struct Dot {
    lane: usize,
    x: f64,
    /// How high above its lane's line it stands, beside earlier ones.
    lift: f64,
}

/// The measures of a picture.
struct Layout {
    nodes: Vec<NodeId>,
    dots: Vec<Dot>,
    /// The height of a lane: that of its highest stack of dots.
    lane: f64,
    zero: u64,
    span: u64,
}

impl Layout {
    fn new(records: &[Record]) -> Self {
        let nodes: BTreeSet<NodeId> = records.iter().map(|r| r.node.clone()).collect();
        let nodes: Vec<NodeId> = nodes.into_iter().collect();
        let zero = records.first().map_or(0, |r| r.stamp.wall);
        let span = records.last().map_or(1, |r| r.stamp.wall - zero).max(1);
        let dots = dots(records, &nodes, zero, span);
        let highest = dots.iter().map(|d| d.lift).fold(0.0, f64::max);
        Self {
            lane: highest + LANE,
            nodes,
            dots,
            zero,
            span,
        }
    }

    /// The height of a lane's line.
    fn line(&self, lane: usize) -> f64 {
        TOP + self.lane * (lane as f64 + 1.0) - LANE / 2.0
    }

    /// The height of the axis.
    fn axis(&self) -> f64 {
        TOP + self.lane * self.nodes.len() as f64
    }
}

fn dots(records: &[Record], nodes: &[NodeId], zero: u64, span: u64) -> Vec<Dot> {
    let mut last: Vec<(f64, f64)> = vec![(f64::MIN, 0.0); nodes.len()];
    let mut dots = Vec::new();
    for record in records {
        let lane = nodes.iter().position(|n| *n == record.node).unwrap_or(0);
        let x = place(record.stamp.wall - zero, span);
        let (before, height) = last[lane];
        let lift = if x - before < NEAR {
            height + 2.0 * DOT
        } else {
            0.0
        };
        last[lane] = (x, lift);
        dots.push(Dot { lane, x, lift });
    }
    dots
}

/// Draws the events; they must be in order.
pub fn svg(records: &[Record]) -> String {
    let layout = Layout::new(records);
    let axis = layout.axis();
    let height = axis + 70.0 + LINE * records.len() as f64;
    let mut out = String::new();
    let _ = write!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"20\" y=\"26\" font-size=\"16\">Time line, {} events over {} ms</text>\n",
        records.len(),
        layout.span
    );
    draw_lanes(&mut out, &layout);
    draw_axis(&mut out, &layout);
    draw_dots(&mut out, records, &layout);
    for (n, record) in records.iter().enumerate() {
        let y = axis + 55.0 + LINE * n as f64;
        let at = record.stamp.wall - layout.zero;
        let _ = writeln!(
            out,
            "<text x=\"20\" y=\"{y}\" fill=\"#666\">{}</text><text x=\"50\" y=\"{y}\">{at} ms</text>\
             <text x=\"120\" y=\"{y}\">{}</text><text x=\"240\" y=\"{y}\">{}</text>",
            n + 1,
            escape(record.node.as_str()),
            escape(&sentence(&record.what)),
        );
    }
    out.push_str("</svg>\n");
    out
}

fn draw_lanes(out: &mut String, layout: &Layout) {
    for (n, node) in layout.nodes.iter().enumerate() {
        let y = layout.line(n);
        let end = WIDTH - RIGHT;
        let _ = writeln!(
            out,
            "<line x1=\"{LEFT}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"#ccc\"/>\
             <text x=\"20\" y=\"{}\">{}</text>",
            y + 4.0,
            escape(node.as_str())
        );
    }
}

fn draw_axis(out: &mut String, layout: &Layout) {
    let y = layout.axis();
    for step in 0..=5_u64 {
        let at = layout.span * step / 5;
        let x = place(at, layout.span);
        let _ = writeln!(
            out,
            "<line x1=\"{x}\" y1=\"{TOP}\" x2=\"{x}\" y2=\"{y}\" stroke=\"#eee\"/>\
             <text x=\"{x}\" y=\"{}\" fill=\"#666\" text-anchor=\"middle\">{at} ms</text>",
            y + 18.0
        );
    }
}

fn draw_dots(out: &mut String, records: &[Record], layout: &Layout) {
    for (n, (record, dot)) in records.iter().zip(&layout.dots).enumerate() {
        let y = layout.line(dot.lane) - dot.lift;
        let _ = writeln!(
            out,
            "<circle cx=\"{:.1}\" cy=\"{y:.1}\" r=\"{DOT}\" fill=\"{}\"><title>{}</title></circle>\
             <text x=\"{:.1}\" y=\"{:.1}\" font-size=\"8\" fill=\"white\" text-anchor=\"middle\">{}</text>",
            dot.x,
            colour(&record.what),
            escape(&sentence(&record.what)),
            dot.x,
            y + 3.0,
            n + 1
        );
    }
}

fn place(at: u64, span: u64) -> f64 {
    LEFT + (WIDTH - LEFT - RIGHT) * at as f64 / span as f64
}

const fn colour(what: &TimelineEvent) -> &'static str {
    match what {
        TimelineEvent::Failed { .. }
        | TimelineEvent::AttemptFailed { .. }
        | TimelineEvent::GroupBroken { .. }
        | TimelineEvent::GroupEnded { .. }
        | TimelineEvent::LeaseEnded { .. }
        | TimelineEvent::CallerGone { .. } => "#b3312c",
        TimelineEvent::Completed { .. }
        | TimelineEvent::GroupComplete { .. }
        | TimelineEvent::LeaseGained { .. } => "#2e7d32",
        TimelineEvent::SettingsInForce { .. } => "#7b4fa3",
        _ => "#2457a6",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
