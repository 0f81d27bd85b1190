//! Where requests run, wait or are turned away, by load patterns.

mod choice;
mod health;
mod roster;
mod support;
mod waiting;
