//! Decision logic of an entry that sends requests directly to runners.
//!
//! An entry is the process that accepts callers' requests. On platforms where
//! any process may call a runner, and where a runner's response states whether
//! the request was executed, an entry needs no agent on the request path.
//! The types here do no I/O: they match a request to its route, queue it,
//! choose a runner, decide on retries and check resumed streams. Entries that
//! send requests through agents use the [`router`](crate::router) instead.

mod broken_together;
mod common_parts;
mod crash_note;
mod crash_record;
mod crash_suspect;
mod crash_tracker;
mod crash_trial;
mod declaration;
mod entry_count;
mod events;
mod group_rank;
mod latest_declaration;
mod load;
mod pool;
mod response_times;
mod retry;
mod runner_registry;
mod sound_parts;
mod stop_schedule;
mod stream_latency;
mod windowed_retry_budget;

pub use broken_together::BreakSummary;
pub use broken_together::BrokenTogether;
pub use crash_note::CrashNote;
pub use crash_note::TrialNote;
pub use crash_suspect::CrashSuspect;
pub use crash_tracker::CrashTracker;
pub use crash_trial::CrashTrial;
pub use declaration::CallerLimits;
pub use declaration::Declaration;
pub use declaration::Denied;
pub use declaration::EngineModel;
pub use declaration::ExpertLayout;
pub use declaration::RetryPolicy;
pub use declaration::Route;
pub use declaration::RouteMatch;
pub use declaration::ServiceTarget;
pub use declaration::Tenancy;
pub use declaration::WeightedService;
pub use entry_count::EntryCount;
pub use events::EventSplitter;
pub use events::SequenceChecker;
pub use events::StreamFault;
pub use group_rank::GroupRank;
pub use latest_declaration::LatestDeclaration;
pub use latest_declaration::StoreBehind;
pub use load::GroupReport;
pub use load::LoadReport;
pub use pool::Admission;
pub use pool::DequeuedRequest;
pub use pool::Pool;
pub use pool::PoolLimits;
pub use pool::QueuedRequest;
pub use pool::QueuedRequestId;
pub use pool::RunnerOutcome;
pub use pool::Selection;
pub use response_times::ResponseTimes;
pub use retry::AttemptOutcome;
pub use retry::NextStep;
pub use retry::RetryLimit;
pub use retry::RetryState;
pub use runner_registry::RunnerRegistry;
pub use stop_schedule::StopSchedule;
pub use stream_latency::LateCause;
pub use stream_latency::StreamLatency;
pub use windowed_retry_budget::WindowedRetryBudget;
