//! Decides how many requests leave the data centre of their entry.
//!
//! Traffic between data centres is slower and costs money, but the runners of one data
//! centre are sometimes too few: demand comes in waves that differ by data centre, callers
//! move, and runners are lost. Requests stay at home while its runners have about as much
//! to do as those elsewhere, and only the surplus leaves.

mod decision;
mod surplus;

pub use decision::Locality;
pub use decision::LocalityState;
pub use decision::Preference;
pub use surplus::MoveCost;
pub use surplus::PlaceLoad;
