//! A simulated discovery service with its schedulers, and initial states and helpers for the tests.

pub mod scenarios;
pub mod simulated_discovery;
