//! Runs edge daemons as processes against stand-ins of the platform.

#[path = "it/answers.rs"]
mod answers;
#[path = "it/backoffs.rs"]
mod backoffs;
#[path = "it/calls.rs"]
mod calls;
#[path = "it/crash_points.rs"]
mod crash_points;
#[path = "it/crowded.rs"]
mod crowded;
#[path = "it/cut_heads.rs"]
mod cut_heads;
#[path = "it/dead_entries.rs"]
mod dead_entries;
#[path = "it/deadlines.rs"]
mod deadlines;
#[path = "it/evacuation.rs"]
mod evacuation;
#[path = "it/fatal.rs"]
mod fatal;
#[path = "it/fatal_parts.rs"]
mod fatal_parts;
#[path = "it/floods.rs"]
mod floods;
#[path = "it/keys.rs"]
mod keys;
#[path = "it/leaving.rs"]
mod leaving;
#[path = "it/limits.rs"]
mod limits;
#[path = "it/lines.rs"]
mod lines;
#[path = "it/lost_peers.rs"]
mod lost_peers;
#[path = "it/memory.rs"]
mod memory;
#[path = "it/owners.rs"]
mod owners;
#[path = "it/partitions.rs"]
mod partitions;
#[path = "it/repeats.rs"]
mod repeats;
#[path = "it/seeds.rs"]
mod seeds;
#[path = "it/shortage.rs"]
mod shortage;
#[path = "it/silence.rs"]
mod silence;
#[path = "it/silent_crashes.rs"]
mod silent_crashes;
#[path = "it/silent_targets.rs"]
mod silent_targets;
#[path = "it/soak.rs"]
mod soak;
#[path = "it/starts.rs"]
mod starts;
#[path = "it/statuses.rs"]
mod statuses;
#[path = "it/stops.rs"]
mod stops;
#[path = "it/streams.rs"]
mod streams;
#[path = "it/support.rs"]
mod support;
#[path = "it/unframed.rs"]
mod unframed;
#[path = "it/writers.rs"]
mod writers;
