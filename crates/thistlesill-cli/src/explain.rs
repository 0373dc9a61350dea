//! Sentences that say why things are as they are.

use thistlesill_core::timeline::{Happening, Record};

/// One event as a sentence.
pub fn sentence(what: &Happening) -> String {
    match what {
        Happening::Started => "started".to_owned(),
        Happening::Stopping => "is told to stop".to_owned(),
        Happening::SettingsInForce { revision } => format!("has settings {revision} in force"),
        Happening::Arrived { request, customer } => {
            format!("request {request} of {customer} arrives")
        }
        Happening::Claimed { request } => format!("request {request} holds its key"),
        Happening::Sent {
            request,
            group,
            epoch,
            attempt,
        } => format!("request {request} goes to {group}, epoch {epoch}, attempt {attempt}"),
        Happening::FirstToken { request } => format!("request {request} has its first token"),
        Happening::AttemptFailed { request, group } => {
            format!("request {request} fails at {group}")
        }
        Happening::Completed { request, tokens } => {
            format!("request {request} is whole, {tokens} tokens")
        }
        Happening::Failed { request, kind } => format!("request {request} ends with {kind}"),
        Happening::CallerGone { request } => format!("the caller of {request} is gone"),
        Happening::LeaseGained { hall, term } => format!("gains the lease of {hall}, term {term}"),
        Happening::LeaseEnded { hall, term } => {
            format!("no longer holds the lease of {hall}, term {term}")
        }
        Happening::GroupPlanned {
            group,
            epoch,
            members,
        } => format!("plans {group}, epoch {epoch}, of {}", members.len()),
        Happening::GroupEnded { group, epoch, why } => {
            format!("ends {group}, epoch {epoch}: {why:?}")
        }
        Happening::GroupComplete { group, epoch } => format!("sees {group} whole, epoch {epoch}"),
        Happening::GroupBroken { group, epoch } => {
            format!("sees {group} whole no more, epoch {epoch}")
        }
        Happening::Ordered {
            instance,
            term,
            epoch,
        } => format!("orders {instance}, fence {term}/{epoch}"),
    }
}

/// An event as a line of text, with its time relative to `zero`.
pub fn line(record: &Record, zero: u64) -> String {
    let at = record.stamp.wall.saturating_sub(zero);
    format!("{at:>8} ms  {:<14} {}", record.node, sentence(&record.what))
}
