//! The groups that may serve, derived from the reports of their members.
//!
//! A group is complete only while recent reports show every rank of one epoch as ready. No table is
//! read for this, so serving continues while the platform's store is unreachable.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistlesill_core::message::ObservedState;
use thistlesill_core::report::{Load, Membership};
use thistlesill_core::{DomainId, Generation, GroupId, HallId, InstanceId, Millis, ServiceName};

use crate::presence::{Observed, View};

/// Identifies one formation of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupKey {
    /// The group.
    pub group: GroupId,
    /// The epoch in which the group was formed.
    pub epoch: u64,
}

/// A member of a group, as a router needs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// The instance's incarnation when the group was found complete.
    pub incarnation: u64,
}

/// A group or plain service that may take requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The group; for a plain service, a group named after its instance.
    pub key: GroupKey,
    /// Where requests are sent: the leader's address.
    pub address: SocketAddr,
    /// The hall of the leader.
    pub hall: HallId,
    /// The fabric domain.
    pub domain: DomainId,
    /// The generation of the accelerators.
    pub generation: Generation,
    /// The members in order of rank.
    pub members: Vec<Member>,
    /// What the server runs.
    pub runs: Runs,
    /// When the reports of the members stop counting, unless newer ones arrive.
    pub until: Millis,
}

/// What a server runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Runs {
    /// A model with its adapters.
    Model(Load),
    /// A plain service.
    Service(ServiceName),
}

impl Server {
    /// Returns the instance that takes the server's requests, which has rank 0.
    pub fn leader(&self) -> &InstanceId {
        &self.members[0].instance
    }
}

/// Why a group that some members report is not complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "lack", rename_all = "snake_case")]
pub enum IncompleteReason {
    /// No member reports this rank.
    Unreported {
        /// The rank, from 0.
        rank: u32,
    },
    /// A member is still loading.
    Loading {
        /// The member.
        instance: InstanceId,
    },
    /// A member takes no new requests.
    Draining {
        /// The member.
        instance: InstanceId,
    },
    /// A member's report is too old.
    Stale {
        /// The member.
        instance: InstanceId,
    },
    /// A member is leaving.
    Leaving {
        /// The member.
        instance: InstanceId,
    },
    /// Two instances report the same rank.
    Doubled {
        /// The rank, from 0.
        rank: u32,
    },
}

/// A group that is not complete, with the reasons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incomplete {
    /// The group.
    pub key: GroupKey,
    /// Why the group is not complete.
    pub lacks: Vec<IncompleteReason>,
}

/// All reported groups, complete or not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// The groups and plain services that may take requests.
    pub servers: Vec<Server>,
    /// The groups that may not take requests.
    pub incomplete: Vec<Incomplete>,
}

/// Derives the servers and the incomplete groups from a view.
///
/// `window` is how long a report counts.
pub fn derive_servers(view: &View, now: Millis, window: Millis) -> ServerList {
    let observed = view.observe_all(now, window);
    let mut list = ServerList::default();
    let mut groups: BTreeMap<GroupKey, Vec<(&Membership, &Observed)>> = BTreeMap::new();
    for seen in observed.values() {
        match &seen.sighting.state {
            ObservedState::Service(name) => list.servers.extend(service(name, seen, now)),
            ObservedState::Loading(m) | ObservedState::Ready(m) | ObservedState::Draining(m) => {
                let key = GroupKey {
                    group: m.group.clone(),
                    epoch: m.epoch,
                };
                groups.entry(key).or_default().push((m, seen));
            }
            ObservedState::Lost | ObservedState::Idle => {}
        }
    }
    for (key, members) in groups {
        let lacks = incomplete_reasons(&members, now);
        if lacks.is_empty() {
            list.servers.push(server(key, &members));
        } else {
            list.incomplete.push(Incomplete { key, lacks });
        }
    }
    list
}

fn service(name: &ServiceName, seen: &Observed, now: Millis) -> Option<Server> {
    if seen.until <= now || seen.sighting.leaving {
        return None;
    }
    Some(Server {
        key: GroupKey {
            group: GroupId::new(format!("service.{}", seen.sighting.instance)),
            epoch: seen.sighting.incarnation,
        },
        address: seen.sighting.address,
        hall: seen.sighting.hall.clone(),
        domain: seen.sighting.domain.clone(),
        generation: seen.sighting.generation.clone(),
        members: vec![member(seen)],
        runs: Runs::Service(name.clone()),
        until: seen.until,
    })
}

fn member(seen: &Observed) -> Member {
    Member {
        instance: seen.sighting.instance.clone(),
        incarnation: seen.sighting.incarnation,
    }
}

fn incomplete_reasons(members: &[(&Membership, &Observed)], now: Millis) -> Vec<IncompleteReason> {
    let mut reasons = Vec::new();
    let mut ranks = BTreeSet::new();
    let size = members.iter().map(|(m, _)| m.size).max().unwrap_or(0);
    for (m, seen) in members {
        let instance = seen.sighting.instance.clone();
        if !ranks.insert(m.rank) {
            reasons.push(IncompleteReason::Doubled { rank: m.rank });
        }
        if seen.sighting.leaving {
            reasons.push(IncompleteReason::Leaving { instance });
        } else if seen.until <= now {
            reasons.push(IncompleteReason::Stale { instance });
        } else if matches!(seen.sighting.state, ObservedState::Loading(_)) {
            reasons.push(IncompleteReason::Loading { instance });
        } else if matches!(seen.sighting.state, ObservedState::Draining(_)) {
            reasons.push(IncompleteReason::Draining { instance });
        }
    }
    let missing = (0..size).filter(|r| !ranks.contains(r));
    reasons.extend(missing.map(|rank| IncompleteReason::Unreported { rank }));
    reasons
}

fn server(key: GroupKey, members: &[(&Membership, &Observed)]) -> Server {
    let mut sorted: Vec<_> = members.to_vec();
    sorted.sort_by_key(|(m, _)| m.rank);
    let (first, leader) = sorted[0];
    let until = sorted.iter().map(|(_, seen)| seen.until).min();
    Server {
        key,
        address: leader.sighting.address,
        hall: leader.sighting.hall.clone(),
        domain: leader.sighting.domain.clone(),
        generation: leader.sighting.generation.clone(),
        members: sorted.iter().map(|(_, seen)| member(seen)).collect(),
        runs: Runs::Model(first.load.clone()),
        until: until.unwrap_or(Millis::ZERO),
    }
}
