//! Expert maps: which rank of a group holds which experts of its model.
//!
//! The modules decide when another map is worth its copies, and make all ranks
//! of a group change to it at the same step. There are two kinds of groups.
//! For those whose engines hold a step and take part in votes, [`Planner`]
//! plans a [`Placement`] and [`Leader`] and [`VotingSwitch`] bring it into
//! use. For those of a hosted service, whose engines know nothing of each
//! other and call a step a pass, [`plan_copies`] plans an [`ExpertMap`] and
//! [`HoldSwitch`] changes to it.

mod copy_budget;
mod copy_plan;
mod count_schedule;
mod count_window;
mod forecast;
mod hold_switch;
mod leader;
mod map_delta;
mod placement;
mod plan;
mod rank;
mod report_budget;
mod voting_switch;

pub use copy_budget::CopyBudget;
pub use copy_plan::CopyBounds;
pub use copy_plan::CopyPlan;
pub use copy_plan::ExpertLoads;
pub use copy_plan::plan_copies;
pub use copy_plan::skew;
pub use count_schedule::CountSchedule;
pub use count_schedule::CountStep;
pub use count_window::CountWindow;
pub use count_window::ExpertChoices;
pub use forecast::Forecast;
pub use hold_switch::HoldInput;
pub use hold_switch::HoldOutput;
pub use hold_switch::HoldSwitch;
pub use hold_switch::PendingHold;
pub use leader::GroupSnapshot;
pub use leader::Leader;
pub use leader::LeaderInput;
pub use leader::LeaderOutput;
pub use map_delta::EncodedMap;
pub use map_delta::LastMap;
pub use map_delta::MapDelta;
pub use map_delta::RankChange;
pub use placement::Loads;
pub use placement::Placement;
pub use placement::Shape;
pub use plan::Plan;
pub use plan::PlanCost;
pub use plan::Planner;
pub use plan::full_replan;
pub use rank::ExpertMap;
pub use rank::MapNumber;
pub use rank::RankOrder;
pub use rank::RankView;
pub use report_budget::ReportBudget;
pub use report_budget::ReportIntervals;
pub use voting_switch::Ballot;
pub use voting_switch::Decision;
pub use voting_switch::EngineOrder;
pub use voting_switch::EngineReport;
pub use voting_switch::EngineView;
pub use voting_switch::Message;
pub use voting_switch::RunnerSnapshot;
pub use voting_switch::Vote;
pub use voting_switch::VotingInput;
pub use voting_switch::VotingOutput;
pub use voting_switch::VotingSwitch;
