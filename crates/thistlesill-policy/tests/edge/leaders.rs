//! Builds leaders of groups that take requests.

use std::net::{Ipv4Addr, SocketAddr};

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Membership, Target};

/// Returns the leader of an open group of the larger model.
pub(crate) fn leader(id: &str) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        hall: "h".into(),
        slots: 26,
        leaving: false,
        warmup: Millis::ZERO,
        domain: Some("d".into()),
        staged: Vec::new(),
        member: Some(Membership {
            of: GroupRef {
                group: id.into(),
                epoch: 1,
            },
            rank: 0,
            state: MemberState::Open,
            model: Some("large".into()),
        }),
    }
}
