//! What stands in for the world around the schedulers, as state machines: workers, discovery, clients and the front
//! proxy, and the HTTP that they speak. No I/O, no clock; [`crate::cluster`] connects them to sockets.

pub mod clients;
pub mod discovery;
pub mod front_proxy;
pub mod http;
pub mod workers;
