//! The edge daemon, which proxies the operators' routes to targets and, while it holds the
//! lease, forms the serving groups.
//!
//! All state belongs to one thread. Its tasks do I/O, borrow the state for one short step at a
//! time, and never hold a borrow across an await.

mod attempt;
mod backoffs;
mod body;
mod choice;
pub mod daemon;
mod destination;
mod evacuation;
mod figures;
mod flight;
mod follow;
mod forward;
mod front;
mod intake;
mod job;
mod lanes;
mod leaving;
mod limits;
pub mod lines;
mod peers;
mod plain;
mod planner;
mod probes;
mod proxy;
mod quarantine;
mod ranking;
mod reach;
mod relay;
mod reply;
mod start;
mod state;
mod track;
mod unreadable;
mod watch;
