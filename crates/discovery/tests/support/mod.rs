//! A simulated discovery service with its schedulers, and what the tests of it start from.

pub mod scenarios;
pub mod simulated_discovery;
