//! The time line as a self-contained picture: a lane for each daemon, a
//! numbered dot for each event, and the events in words below.

use std::collections::BTreeSet;
use std::fmt::Write;

use thistlesill_core::NodeId;
use thistlesill_core::timeline::{Happening, Record};

use crate::explain::sentence;

const WIDTH: f64 = 1_100.0;
const LEFT: f64 = 150.0;
const RIGHT: f64 = 30.0;
const LANE: f64 = 44.0;
const TOP: f64 = 60.0;
const LINE: f64 = 18.0;
/// Dots nearer than this are drawn one above the other.
const NEAR: f64 = 16.0;
const DOT: f64 = 7.0;

/// Draws the events; they must be in order.
pub fn svg(records: &[Record]) -> String {
    let nodes: Vec<NodeId> = lanes(records);
    let zero = records.first().map_or(0, |r| r.stamp.wall);
    let span = records.last().map_or(1, |r| r.stamp.wall - zero).max(1);
    let axis = TOP + LANE * nodes.len() as f64;
    let height = axis + 50.0 + LINE * records.len() as f64 + 20.0;
    let mut out = String::new();
    let _ = write!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"20\" y=\"26\" font-size=\"16\">Time line, {} events over {span} ms</text>\n",
        records.len()
    );
    draw_lanes(&mut out, &nodes);
    draw_axis(&mut out, axis, span);
    draw_dots(&mut out, records, &nodes, zero, span);
    for (n, record) in records.iter().enumerate() {
        let y = axis + 55.0 + LINE * n as f64;
        let at = record.stamp.wall - zero;
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

fn lanes(records: &[Record]) -> Vec<NodeId> {
    let nodes: BTreeSet<NodeId> = records.iter().map(|r| r.node.clone()).collect();
    nodes.into_iter().collect()
}

fn draw_lanes(out: &mut String, nodes: &[NodeId]) {
    for (n, node) in nodes.iter().enumerate() {
        let y = TOP + LANE * (n as f64 + 0.5);
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

fn draw_axis(out: &mut String, y: f64, span: u64) {
    for step in 0..=5_u64 {
        let at = span * step / 5;
        let x = place(at, span);
        let _ = writeln!(
            out,
            "<line x1=\"{x}\" y1=\"{TOP}\" x2=\"{x}\" y2=\"{y}\" stroke=\"#eee\"/>\
             <text x=\"{x}\" y=\"{}\" fill=\"#666\" text-anchor=\"middle\">{at} ms</text>",
            y + 18.0
        );
    }
}

fn draw_dots(out: &mut String, records: &[Record], nodes: &[NodeId], zero: u64, span: u64) {
    let mut last: Vec<(f64, f64)> = vec![(f64::MIN, 0.0); nodes.len()];
    for (n, record) in records.iter().enumerate() {
        let Some(lane) = nodes.iter().position(|node| *node == record.node) else {
            continue;
        };
        let x = place(record.stamp.wall - zero, span);
        let (before, lift) = last[lane];
        let lift = if x - before < NEAR {
            (lift + 2.0 * DOT) % LANE
        } else {
            0.0
        };
        last[lane] = (x, lift);
        let y = TOP + LANE * (lane as f64 + 0.5) - lift;
        let _ = writeln!(
            out,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"{DOT}\" fill=\"{}\"><title>{}</title></circle>\
             <text x=\"{x:.1}\" y=\"{:.1}\" font-size=\"8\" fill=\"white\" text-anchor=\"middle\">{}</text>",
            colour(&record.what),
            escape(&sentence(&record.what)),
            y + 3.0,
            n + 1
        );
    }
}

fn place(at: u64, span: u64) -> f64 {
    LEFT + (WIDTH - LEFT - RIGHT) * at as f64 / span as f64
}

const fn colour(what: &Happening) -> &'static str {
    match what {
        Happening::Failed { .. }
        | Happening::AttemptFailed { .. }
        | Happening::GroupBroken { .. }
        | Happening::GroupEnded { .. }
        | Happening::LeaseEnded { .. }
        | Happening::CallerGone { .. } => "#b3312c",
        Happening::Completed { .. }
        | Happening::GroupComplete { .. }
        | Happening::LeaseGained { .. } => "#2e7d32",
        Happening::SettingsInForce { .. } => "#7b4fa3",
        _ => "#2457a6",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
