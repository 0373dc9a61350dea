//! Descriptions of timeline events in words.

use thistlesill_core::timeline::{Record, TimelineEvent};

/// Returns a description of an event that follows its daemon's name.
pub fn sentence(what: &TimelineEvent) -> String {
    match what {
        TimelineEvent::Started => "started".to_owned(),
        TimelineEvent::Stopping => "is told to stop".to_owned(),
        TimelineEvent::SettingsInForce { revision } => format!("has settings {revision} in force"),
        TimelineEvent::Arrived { request, customer } => {
            format!("request {request} of {customer} arrives")
        }
        TimelineEvent::Claimed { request } => format!("request {request} holds its key"),
        TimelineEvent::Sent {
            request,
            group,
            epoch,
            attempt,
        } => format!("request {request} goes to {group}, epoch {epoch}, attempt {attempt}"),
        TimelineEvent::FirstToken { request } => format!("request {request} has its first token"),
        TimelineEvent::AttemptFailed { request, group } => {
            format!("request {request} fails at {group}")
        }
        TimelineEvent::Completed { request, tokens } => {
            format!("request {request} is whole, {tokens} tokens")
        }
        TimelineEvent::Failed { request, kind } => format!("request {request} ends with {kind}"),
        TimelineEvent::CallerGone { request } => format!("the caller of {request} is gone"),
        TimelineEvent::LeaseGained { hall, term } => {
            format!("gains the lease of {hall}, term {term}")
        }
        TimelineEvent::LeaseEnded { hall, term } => {
            format!("no longer holds the lease of {hall}, term {term}")
        }
        TimelineEvent::GroupPlanned {
            group,
            epoch,
            members,
        } => format!("plans {group}, epoch {epoch}, of {}", members.len()),
        TimelineEvent::GroupEnded { group, epoch, why } => {
            format!("ends {group}, epoch {epoch}: {why:?}")
        }
        TimelineEvent::GroupComplete { group, epoch } => {
            format!("sees {group} whole, epoch {epoch}")
        }
        TimelineEvent::GroupBroken { group, epoch } => {
            format!("sees {group} whole no more, epoch {epoch}")
        }
        TimelineEvent::Ordered {
            instance,
            term,
            epoch,
        } => format!("orders {instance}, fence {term}/{epoch}"),
    }
}

/// Returns an event as a line of text, with its time relative to `start`.
pub fn line(record: &Record, start: u64) -> String {
    let at = record.stamp.wall.saturating_sub(start);
    format!("{at:>8} ms  {:<14} {}", record.node, sentence(&record.what))
}
