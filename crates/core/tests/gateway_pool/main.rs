//! Tests of the pool of a service: admission, queueing and choice of runners.

mod choice;
mod cold;
mod health;
mod leaving;
mod resting;
mod restored_store;
mod runner_registry;
mod support;
mod waiting;
