//! Targets that announce in their answers that they leave.
//!
//! A target may have no entry that says so, and a daemon that is cut off reads no entries. The
//! daemon that receives an announcement broadcasts it to all others.

use thistlesill_core::NodeId;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_platform::caller::{AnswerHead, TargetPhase};

use crate::job::Job;
use crate::peers::packet::Packet;
use crate::peers::{Reach, link};
use crate::state::Edge;

/// Records whether a target's answer announces that the target leaves.
pub(crate) fn note_answer(job: &Job, target: &Target, info: &AnswerHead) {
    let leaves = info.phase == TargetPhase::Leaving;
    if leaves && note(&job.edge, &target.id, &job.head.id) {
        let packet = Packet::Leaving(target.id.clone());
        link::broadcast(&job.edge, &packet, Reach::All);
    }
}

/// Sends an owner the announcement of the target that it picked, if the target leaves.
pub(crate) fn update_owner(edge: &Edge, owner: &NodeId, target: &TargetId) {
    if edge.registry.borrow().is_leaving(target) {
        link::send_to(edge, owner, &Packet::Leaving(target.clone()));
    }
}

/// Applies an announcement that a peer received.
pub(crate) fn receive(edge: &Edge, target: &TargetId) {
    note(edge, target, "a peer");
}

/// Records that a target leaves; returns whether that is new. `from` is the request or the daemon
/// that it came from.
fn note(edge: &Edge, target: &TargetId, from: &str) -> bool {
    let now = edge.now();
    let is_new = edge.registry.borrow_mut().announce_leaving(target, now);
    if is_new {
        edge.lanes.close_idle(target);
        edge.fleet_changed.notify_one();
        let line = edge.lines.line("leaving_announced");
        line.with("target", target).with("from", from).write();
    }
    is_new
}
