//! Decisions of an entry that calls runners itself.
//!
//! Where runners answer anybody and give their own evidence of what they did
//! not run, an entry needs no agent on a request's path. These cores decide
//! what a declaration allows, where a request waits and runs, what is tried
//! again and how a stream goes on. They are not the [`router`](crate::router),
//! which serves the path through agents.

mod attempt;
mod crowd;
mod declaration;
mod events;
mod latest;
mod load;
mod pool;
mod punctual;
mod repeats;
mod roster;
mod strikes;

pub use attempt::AttemptOutcome;
pub use attempt::NextStep;
pub use attempt::RequestPlan;
pub use crowd::Crowd;
pub use declaration::CallerLimits;
pub use declaration::Declaration;
pub use declaration::Denied;
pub use declaration::EngineModel;
pub use declaration::ExpertLayout;
pub use declaration::Permit;
pub use declaration::Repeat;
pub use declaration::Route;
pub use declaration::ServiceTarget;
pub use declaration::Share;
pub use declaration::Tenancy;
pub use events::EventSplitter;
pub use events::StreamCheck;
pub use events::StreamFault;
pub use latest::Latest;
pub use load::GroupReport;
pub use load::LoadReport;
pub use pool::Admission;
pub use pool::Candidate;
pub use pool::Pool;
pub use pool::PoolLimits;
pub use pool::RunnerStatus;
pub use pool::TicketId;
pub use pool::Wake;
pub use pool::Work;
pub use punctual::Lateness;
pub use punctual::Punctuality;
pub use repeats::RepeatBudget;
pub use roster::Roster;
pub use strikes::Strikes;
