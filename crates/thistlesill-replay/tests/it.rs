//! Tests of the production cores in simulations with fakes, in virtual time.

#[path = "it/golden.rs"]
mod golden;
#[path = "it/groups.rs"]
mod groups;
#[path = "it/instances.rs"]
mod instances;
#[path = "it/leaving.rs"]
mod leaving;
#[path = "it/once.rs"]
mod once;
#[path = "it/requests.rs"]
mod requests;
#[path = "it/settings.rs"]
mod settings;
#[path = "it/support.rs"]
mod support;
