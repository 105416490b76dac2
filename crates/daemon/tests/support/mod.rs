//! Runs a scheduler as a separate process, with scripted clients, workers, discovery and another scheduler on
//! loopback sockets.
#![allow(dead_code, missing_docs, unused_imports)]

mod client;
mod datagram_relay;
mod discovery;
mod http;
mod log_calls;
mod scheduler;
mod settings;
mod sockets;
mod worker;

pub use client::*;
pub use datagram_relay::*;
pub use discovery::*;
pub use http::*;
pub use log_calls::*;
pub use scheduler::*;
pub use settings::*;
pub use sockets::*;
pub use worker::*;

use std::time::{Duration, Instant};

/// Time limit for each wait in a test, far above what any of them takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn sleep_until(wake_at: Instant) {
    std::thread::sleep(wake_at.saturating_duration_since(Instant::now()));
}
