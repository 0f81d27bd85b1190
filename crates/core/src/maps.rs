//! Expert maps: which rank holds which experts, when to change that, and how
//! all ranks of a group change at one and the same step.

mod forecast;
mod leader;
mod placement;
mod plan;
mod switch;

pub use forecast::Forecast;
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
