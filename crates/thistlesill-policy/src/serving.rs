//! The groups that may serve, derived from their members' own reports.
//!
//! A group is whole only while every rank of one epoch is reported as ready
//! by a fresh report. No table is asked, so serving goes on while the
//! platform's store is out of reach.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistlesill_core::message::ObservedState;
use thistlesill_core::report::{Load, Membership};
use thistlesill_core::{DomainId, Generation, GroupId, HallId, InstanceId, Millis, ServiceName};

use crate::presence::{Observed, View};

/// Names one forming of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupKey {
    /// The group.
    pub group: GroupId,
    /// The epoch of its forming.
    pub epoch: u64,
}

/// A member as a router needs to know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation when the group was seen whole.
    pub incarnation: u64,
}

/// A group or plain service that may take requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The group; for a plain service, one made of its instance's name.
    pub key: GroupKey,
    /// Where requests go.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its fabric domain.
    pub domain: DomainId,
    /// The generation of its accelerators.
    pub generation: Generation,
    /// Members in order of rank.
    pub members: Vec<Member>,
    /// What it runs.
    pub runs: Runs,
    /// Until when its members' reports count, if nothing more is heard.
    pub until: Millis,
}

/// What a server runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Runs {
    /// A model.
    Model(Load),
    /// A plain service.
    Service(ServiceName),
}

impl Server {
    /// The instance that takes the group's requests.
    pub fn leader(&self) -> &InstanceId {
        &self.members[0].instance
    }
}

/// Why a group that some members report is not whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "lack", rename_all = "snake_case")]
pub enum Lack {
    /// No member reports a rank.
    Unreported {
        /// The rank.
        rank: u32,
    },
    /// A member is still loading.
    Loading {
        /// The member.
        instance: InstanceId,
    },
    /// A member takes nothing new.
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
        /// The rank.
        rank: u32,
    },
}

/// A group that is not whole, and what it lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incomplete {
    /// The group.
    pub key: GroupKey,
    /// What it lacks.
    pub lacks: Vec<Lack>,
}

/// All groups seen, whole or not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Groups and services that may take requests.
    pub servers: Vec<Server>,
    /// Groups that may not.
    pub incomplete: Vec<Incomplete>,
}

/// Derives the groups from what the watchers say.
pub fn derive(view: &View, now: Millis, window: Millis) -> Roster {
    let observed = view.observe_all(now, window);
    let mut roster = Roster::default();
    let mut groups: BTreeMap<GroupKey, Vec<(&Membership, &Observed)>> = BTreeMap::new();
    for seen in observed.values() {
        match &seen.sighting.state {
            ObservedState::Service(name) => roster.servers.extend(service(name, seen, now)),
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
        let lacks = lacks(&members, now);
        if lacks.is_empty() {
            roster.servers.push(server(key, &members));
        } else {
            roster.incomplete.push(Incomplete { key, lacks });
        }
    }
    roster
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

fn lacks(members: &[(&Membership, &Observed)], now: Millis) -> Vec<Lack> {
    let mut lacks = Vec::new();
    let mut ranks = BTreeSet::new();
    let size = members.iter().map(|(m, _)| m.size).max().unwrap_or(0);
    for (m, seen) in members {
        let instance = seen.sighting.instance.clone();
        if !ranks.insert(m.rank) {
            lacks.push(Lack::Doubled { rank: m.rank });
        }
        if seen.sighting.leaving {
            lacks.push(Lack::Leaving { instance });
        } else if seen.until <= now {
            lacks.push(Lack::Stale { instance });
        } else if matches!(seen.sighting.state, ObservedState::Loading(_)) {
            lacks.push(Lack::Loading { instance });
        } else if matches!(seen.sighting.state, ObservedState::Draining(_)) {
            lacks.push(Lack::Draining { instance });
        }
    }
    let missing = (0..size).filter(|r| !ranks.contains(r));
    lacks.extend(missing.map(|rank| Lack::Unreported { rank }));
    lacks
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
