//! The entry's decisions for one service: whom to admit, where to run, when to
//! try again.
//!
//! The core holds no request body and no socket. It is told of arrivals, of
//! the fate of attempts and of what runners report, and answers with
//! dispatches and rejections.

mod affinity;
mod budget;
mod choice;
mod core;
mod fairness;
mod pace;
mod poison;
mod request;

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
