//! What stands in for the world around the schedulers: workers, discovery, clients and the front proxy. No I/O, no clock.

pub mod clients;
pub mod discovery;
pub mod workers;
