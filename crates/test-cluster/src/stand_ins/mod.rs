//! Stand-ins for everything that the schedulers talk to, as state machines: workers, discovery, clients and
//! the front proxy, and the HTTP between them. No I/O; callers pass the time. [`crate::cluster`] connects
//! them to sockets.

pub mod clients;
pub mod discovery;
pub mod front_proxy;
pub mod http;
pub mod workers;
