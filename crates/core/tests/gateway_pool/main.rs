//! Where requests run, wait or are turned away, by load patterns.

mod choice;
mod health;
mod runner_registry;
mod support;
mod waiting;
