//! Starts a deployment as separate processes on loopback, for the demo, the benchmark and tests
//! of failures.

mod caller;
mod deployment;
mod process;

pub use caller::{AnswerMode, Caller, CallerError, ChatAnswer, ErrorAnswer};
pub use deployment::{Deployment, Options};
pub use process::{ChildProcess, binary};
