//! Routing of requests to the runners of one service.
//!
//! An entry is the process that accepts the requests of callers. For each service
//! it has one [`Router`], which decides which requests are admitted, on which
//! runner each one runs and whether a failed attempt is retried. The router holds
//! neither request bodies nor sockets: it receives arrivals, results of attempts
//! and load reports of runners as [`Input`]s, and returns dispatches and
//! rejections as [`Output`]s.

mod affinity;
mod budget;
mod choice;
mod core;
mod fairness;
mod poison;
mod request;
mod wait_estimate;

pub use affinity::PrefixIndex;
pub use affinity::prefix_chain;
pub use budget::RetryBudget;
pub use choice::Chooser;
pub use choice::Policy;
pub use choice::RunnerReport;
pub use choice::RunnerState;
pub use choice::SelectionCriteria;
pub use core::Input;
pub use core::Output;
pub use core::Router;
pub use fairness::FairQueue;
pub use poison::EndpointDeath;
pub use poison::PoisonRegistry;
pub use poison::PoisonStatus;
pub use request::AttemptResult;
pub use request::Rejection;
pub use request::Request;
pub use request::RequestId;
pub use request::RetryRule;
