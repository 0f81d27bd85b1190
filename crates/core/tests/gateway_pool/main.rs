//! Tests of the pool of a service: admission, queueing and choice of runners.

mod choice;
mod cold;
mod competing;
mod evacuated;
mod health;
mod leaving;
mod resting;
mod restored_store;
mod runner_registry;
mod silent_runners;
mod simulation;
mod support;
mod waiting;
