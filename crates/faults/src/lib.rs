//! The fault matrix: every fault at every step of every protocol.
//!
//! A scenario runs clean once and its steps are counted. Then each fault is
//! put at each step, and pairs of faults at pairs of steps, and after each run
//! the promises are checked. The cores are those that serve; only sockets, the
//! store and the endpoints are fakes. It is no simulator of a cluster: a
//! scenario has a handful of processes and a few seconds of its own time.

mod fault;
mod held;
mod injection;
mod maps;
mod matrix;
mod queue;
mod request_path;
mod tickets;

pub use fault::Fault;
pub use fault::FaultKind;
pub use fault::Mutation;
pub use fault::Step;
pub use fault::StepClass;
pub use held::HeldFaults;
pub use held::HeldReport;
pub use held::HeldSabotage;
pub use held::run_held;
pub use matrix::Invariant;
pub use matrix::Matrix;
pub use matrix::Scenario;
pub use matrix::Violation;
pub use matrix::run_all_pairs;
pub use matrix::run_case;
pub use matrix::run_random_pairs;
pub use matrix::run_single_faults;
