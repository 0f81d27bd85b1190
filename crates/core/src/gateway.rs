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
mod competition;
mod crash_note;
mod crash_record;
mod crash_suspect;
mod crash_tracker;
mod crash_trial;
mod declaration;
mod demand_table;
mod entry_count;
mod entry_share;
mod events;
mod group_rank;
mod latest_declaration;
mod limit_note;
mod limit_notes;
mod limit_state;
mod load;
mod pool;
mod rate_limit;
mod response_times;
mod rest_notice;
mod retry;
mod runner_registry;
mod smoothed_rate;
mod sound_parts;
mod stop_schedule;
mod stream_latency;
mod token_bucket;
mod watch_pace;
mod windowed_retry_budget;

pub use broken_together::BreakSummary;
pub use broken_together::BrokenTogether;
pub use crash_note::CrashNote;
pub use crash_note::TrialNote;
pub use crash_suspect::CrashSuspect;
pub use crash_tracker::CrashTracker;
pub use crash_trial::CrashTrial;
pub use declaration::CallerLimits;
pub use declaration::ColdStart;
pub use declaration::Declaration;
pub use declaration::Denied;
pub use declaration::EngineModel;
pub use declaration::ExpertLayout;
pub use declaration::PlaceDelay;
pub use declaration::RetryPolicy;
pub use declaration::Route;
pub use declaration::RouteMatch;
pub use declaration::ServiceTarget;
pub use declaration::Tenancy;
pub use declaration::WeightedService;
pub use demand_table::DemandTable;
pub use demand_table::EntryId;
pub use demand_table::ServiceDemand;
pub use demand_table::ServiceShare;
pub use entry_count::EntryCount;
pub use entry_share::EntryShare;
pub use events::EventSplitter;
pub use events::SequenceChecker;
pub use events::StreamFault;
pub use group_rank::GroupRank;
pub use latest_declaration::LatestDeclaration;
pub use latest_declaration::StoreBehind;
pub use limit_note::LimitNote;
pub use limit_notes::LimitNotes;
pub use limit_state::LimitState;
pub use load::GroupReport;
pub use load::LoadReport;
pub use pool::Admission;
pub use pool::DequeuedRequest;
pub use pool::LimitChange;
pub use pool::Pool;
pub use pool::PoolLimits;
pub use pool::QueuedRequest;
pub use pool::QueuedRequestId;
pub use pool::RejectReason;
pub use pool::RequestSize;
pub use pool::RunnerOutcome;
pub use pool::Selection;
pub use rate_limit::LimitNotice;
pub use rate_limit::RateLimit;
pub use response_times::ResponseTimes;
pub use rest_notice::RestNotice;
pub use retry::AttemptOutcome;
pub use retry::NextStep;
pub use retry::RetryLimit;
pub use retry::RetryState;
pub use runner_registry::RunnerRegistry;
pub use stop_schedule::StopSchedule;
pub use stream_latency::LateCause;
pub use stream_latency::StreamLatency;
pub use token_bucket::TokenBucket;
pub use watch_pace::WatchPace;
pub use windowed_retry_budget::WindowedRetryBudget;
