//! The fault matrix: injects every fault at every step of every protocol.
//!
//! A scenario first runs without faults, which numbers its steps. It then runs
//! again with each fault at each step, and with pairs of faults at pairs of
//! steps, and the invariants are checked after every run. The protocol code is
//! the code that runs in production; only sockets, the store and the endpoints
//! are fakes. It does not simulate a whole cluster: a scenario has a handful of
//! processes and takes at most some tens of seconds of simulated time.

mod cold_runners;
mod control_link;
mod crash_notes;
mod fault;
mod hold_switch;
mod injection;
mod maps;
mod matrix;
mod queue;
mod rate_limits;
mod request_path;
mod restored_store;
mod tickets;

pub use cold_runners::ColdFaults;
pub use cold_runners::ColdMutation;
pub use cold_runners::ColdReport;
pub use cold_runners::run_cold_runners;
pub use control_link::LinkMutation;
pub use control_link::LinkReport;
pub use control_link::LinkedGroup;
pub use control_link::run_control_link;
pub use crash_notes::CrashFaults;
pub use crash_notes::CrashMutation;
pub use crash_notes::CrashReport;
pub use crash_notes::Restart;
pub use crash_notes::run_crash_notes;
pub use fault::Fault;
pub use fault::FaultKind;
pub use fault::Mutation;
pub use fault::Step;
pub use fault::StepClass;
pub use hold_switch::HoldFaults;
pub use hold_switch::HoldMutation;
pub use hold_switch::HoldReport;
pub use hold_switch::StopCounts;
pub use hold_switch::run_hold_switch;
pub use matrix::Invariant;
pub use matrix::Matrix;
pub use matrix::Scenario;
pub use matrix::Violation;
pub use matrix::run_all_pairs;
pub use matrix::run_case;
pub use matrix::run_random_pairs;
pub use matrix::run_single_faults;
pub use rate_limits::LimitFaults;
pub use rate_limits::LimitMutation;
pub use rate_limits::LimitReport;
pub use rate_limits::run_rate_limits;
pub use restored_store::RestoreFaults;
pub use restored_store::RestoreMutation;
pub use restored_store::RestoreReport;
pub use restored_store::run_restored_store;
