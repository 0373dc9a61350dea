//! Tests of the decisions of an edge daemon.

#[path = "edge/admission.rs"]
mod admission;
#[path = "edge/asked.rs"]
mod asked;
#[path = "edge/attempt.rs"]
mod attempt;
#[path = "edge/backoff.rs"]
mod backoff;
#[path = "edge/beats.rs"]
mod beats;
#[path = "edge/book.rs"]
mod book;
#[path = "edge/demand.rs"]
mod demand;
#[path = "edge/epochs.rs"]
mod epochs;
#[path = "edge/evacuated_groups.rs"]
mod evacuated_groups;
#[path = "edge/evacuation.rs"]
mod evacuation;
#[path = "edge/eviction.rs"]
mod eviction;
#[path = "edge/feed.rs"]
mod feed;
#[path = "edge/fleet.rs"]
mod fleet;
#[path = "edge/fleet_random.rs"]
mod fleet_random;
#[path = "edge/intake.rs"]
mod intake;
#[path = "edge/leaders.rs"]
mod leaders;
#[path = "edge/life.rs"]
mod life;
#[path = "edge/limit.rs"]
mod limit;
#[path = "edge/load.rs"]
mod load;
#[path = "edge/outage.rs"]
mod outage;
#[path = "edge/owner.rs"]
mod owner;
#[path = "edge/pending.rs"]
mod pending;
#[path = "edge/ranked.rs"]
mod ranked;
#[path = "edge/reach.rs"]
mod reach;
#[path = "edge/release.rs"]
mod release;
#[path = "edge/restarts.rs"]
mod restarts;
#[path = "edge/returns.rs"]
mod returns;
#[path = "edge/room.rs"]
mod room;
#[path = "edge/search.rs"]
mod search;
#[path = "edge/shortage.rs"]
mod shortage;
#[path = "edge/spread.rs"]
mod spread;
#[path = "edge/stage.rs"]
mod stage;
#[path = "edge/start.rs"]
mod start;
#[path = "edge/urgent_groups.rs"]
mod urgent_groups;
