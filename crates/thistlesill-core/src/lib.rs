//! Types shared by all thistlesill processes: names, error kinds, the settings tree, state
//! charts, time line events and messages.
//!
//! Nothing in this crate performs I/O, reads a clock or generates random numbers.

pub mod chart;
pub mod config;
pub mod edge;
pub mod error;
pub mod event_id;
pub mod fingerprint;
pub mod jsonc;
pub mod message;
pub mod name;
pub mod rendezvous;
pub mod report;
pub mod row;
pub mod seal;
pub mod settings;
pub mod suggest;
pub mod table;
pub mod time;
pub mod timeline;

pub use error::ErrorKind;
pub use fingerprint::{Fingerprint, Verdict};
pub use name::{
    Adapter, CustomerId, DomainId, Generation, GroupId, HallId, InstanceId, Model, NodeId,
    RegionId, RequestId, ServiceName, Version,
};
pub use time::{Millis, Stamp};
