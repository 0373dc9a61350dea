//! The timeline as a self-contained SVG image: a lane for each daemon, a numbered dot for each
//! event, and descriptions of the events below.

use std::collections::BTreeSet;
use std::fmt::Write;

use thistlesill_core::NodeId;
use thistlesill_core::timeline::{Record, TimelineEvent};

use crate::explain::sentence;

const WIDTH: f64 = 1_100.0;
const LEFT_MARGIN: f64 = 150.0;
const RIGHT_MARGIN: f64 = 30.0;
/// The height of a lane without stacked dots.
const LANE_HEIGHT: f64 = 40.0;
const TOP_MARGIN: f64 = 60.0;
const LINE_HEIGHT: f64 = 18.0;
/// Dots of a lane that are nearer than this are stacked.
const MIN_DOT_DISTANCE: f64 = 16.0;
const DOT_RADIUS: f64 = 7.0;

/// The position of an event's dot.
struct Dot {
    lane: usize,
    x: f64,
    /// The height above the lane's line.
    lift: f64,
}

/// The dimensions of an image.
struct Layout {
    nodes: Vec<NodeId>,
    dots: Vec<Dot>,
    /// The height of every lane, which fits the highest stack of dots.
    lane_height: f64,
    /// The wall time of the first event.
    start_ms: u64,
    /// The time between the first and the last event, at least 1.
    span_ms: u64,
}

impl Layout {
    fn new(records: &[Record]) -> Self {
        let nodes: BTreeSet<NodeId> = records.iter().map(|r| r.node.clone()).collect();
        let nodes: Vec<NodeId> = nodes.into_iter().collect();
        let start_ms = records.first().map_or(0, |r| r.stamp.wall);
        let span_ms = records.last().map_or(1, |r| r.stamp.wall - start_ms).max(1);
        let dots = dots(records, &nodes, start_ms, span_ms);
        let highest = dots.iter().map(|d| d.lift).fold(0.0, f64::max);
        Self {
            lane_height: highest + LANE_HEIGHT,
            nodes,
            dots,
            start_ms,
            span_ms,
        }
    }

    /// Returns the y coordinate of a lane's line.
    fn lane_y(&self, lane: usize) -> f64 {
        TOP_MARGIN + self.lane_height * (lane as f64 + 1.0) - LANE_HEIGHT / 2.0
    }

    /// Returns the y coordinate of the time axis.
    fn axis_y(&self) -> f64 {
        TOP_MARGIN + self.lane_height * self.nodes.len() as f64
    }
}

fn dots(records: &[Record], nodes: &[NodeId], start_ms: u64, span_ms: u64) -> Vec<Dot> {
    let mut last: Vec<(f64, f64)> = vec![(f64::MIN, 0.0); nodes.len()];
    let mut dots = Vec::new();
    for record in records {
        let lane = nodes.iter().position(|n| *n == record.node).unwrap_or(0);
        let x = time_to_x(record.stamp.wall - start_ms, span_ms);
        let (previous_x, previous_lift) = last[lane];
        let lift = if x - previous_x < MIN_DOT_DISTANCE {
            previous_lift + 2.0 * DOT_RADIUS
        } else {
            0.0
        };
        last[lane] = (x, lift);
        dots.push(Dot { lane, x, lift });
    }
    dots
}

/// Returns an SVG image of events, which must be ordered by time.
pub fn svg(records: &[Record]) -> String {
    let layout = Layout::new(records);
    let axis = layout.axis_y();
    let height = axis + 70.0 + LINE_HEIGHT * records.len() as f64;
    let mut out = String::new();
    let _ = write!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"20\" y=\"26\" font-size=\"16\">Time line, {} events over {} ms</text>\n",
        records.len(),
        layout.span_ms
    );
    draw_lanes(&mut out, &layout);
    draw_axis(&mut out, &layout);
    draw_dots(&mut out, records, &layout);
    for (n, record) in records.iter().enumerate() {
        let y = axis + 55.0 + LINE_HEIGHT * n as f64;
        let at = record.stamp.wall - layout.start_ms;
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
        let y = layout.lane_y(n);
        let end = WIDTH - RIGHT_MARGIN;
        let _ = writeln!(
            out,
            "<line x1=\"{LEFT_MARGIN}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"#ccc\"/>\
             <text x=\"20\" y=\"{}\">{}</text>",
            y + 4.0,
            escape(node.as_str())
        );
    }
}

fn draw_axis(out: &mut String, layout: &Layout) {
    let y = layout.axis_y();
    for step in 0..=5_u64 {
        let at = layout.span_ms * step / 5;
        let x = time_to_x(at, layout.span_ms);
        let _ = writeln!(
            out,
            "<line x1=\"{x}\" y1=\"{TOP_MARGIN}\" x2=\"{x}\" y2=\"{y}\" stroke=\"#eee\"/>\
             <text x=\"{x}\" y=\"{}\" fill=\"#666\" text-anchor=\"middle\">{at} ms</text>",
            y + 18.0
        );
    }
}

fn draw_dots(out: &mut String, records: &[Record], layout: &Layout) {
    for (n, (record, dot)) in records.iter().zip(&layout.dots).enumerate() {
        let y = layout.lane_y(dot.lane) - dot.lift;
        let _ = writeln!(
            out,
            "<circle cx=\"{:.1}\" cy=\"{y:.1}\" r=\"{DOT_RADIUS}\" fill=\"{}\"><title>{}</title></circle>\
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

fn time_to_x(at: u64, span_ms: u64) -> f64 {
    LEFT_MARGIN + (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * at as f64 / span_ms as f64
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
