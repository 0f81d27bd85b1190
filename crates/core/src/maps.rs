//! Expert maps: which rank holds which experts, when to change that, and how
//! all ranks of a group change at one and the same step.

mod copy_plan;
mod effort;
mod forecast;
mod held_switch;
mod leader;
mod placement;
mod plan;
mod rank;
mod switch;

pub use copy_plan::CopyBounds;
pub use copy_plan::CopyPlan;
pub use copy_plan::ExpertLoads;
pub use copy_plan::plan_copies;
pub use copy_plan::skew;
pub use effort::PlanEffort;
pub use forecast::Forecast;
pub use held_switch::HeldInput;
pub use held_switch::HeldOutput;
pub use held_switch::HeldSwitch;
pub use leader::GroupImage;
pub use leader::Leader;
pub use leader::LeaderInput;
pub use leader::LeaderOutput;
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
pub use switch::Ballot;
pub use switch::Decision;
pub use switch::EngineOrder;
pub use switch::EngineReport;
pub use switch::EngineView;
pub use switch::Message;
pub use switch::Standing;
pub use switch::Switch;
pub use switch::SwitchInput;
pub use switch::SwitchOutput;
pub use switch::Vote;
