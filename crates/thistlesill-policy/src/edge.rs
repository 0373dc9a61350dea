//! Decisions of an edge daemon: which requests are admitted, where they are sent, and which targets
//! form groups.

pub mod admission;
pub mod asked;
pub mod attempt;
pub mod backoff;
pub mod beats;
pub mod book;
pub mod evacuation;
pub mod eviction;
pub mod feed;
pub mod fleet;
pub mod freshness;
pub mod intake;
pub mod life;
pub mod limit;
pub mod load;
pub mod owner;
pub mod pending;
pub mod ranked;
pub mod reach;
pub mod returns;
pub mod room;
pub mod shortage;
pub mod spread;
pub mod start;
