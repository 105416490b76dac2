//! Raises the limit on open file descriptors of the test cluster's own process.

use crate::Error;
use crate::scenario::Scenario;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Descriptors for the poll, files and pipes, on top of those counted per node and connection.
const SPARE_DESCRIPTORS: u64 = 64;

/// Raises the soft limit to what the scenario needs, and fails if that exceeds the hard limit.
pub fn raise(scenario: &Scenario) -> Result<(), Error> {
    let needed = needed(scenario);
    let limit = getrlimit(Resource::Nofile);
    let allowed = limit.maximum.unwrap_or(u64::MAX);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if allowed < needed {
        return Err(Error::DescriptorLimit { needed, allowed });
    }
    let raised = Rlimit { current: Some(needed), maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised)
        .map_err(|error| Error::Io { operation: "raising the limit on descriptors", source: error.into() })
}

/// An upper estimate of the descriptors that the scenario needs.
fn needed(scenario: &Scenario) -> u64 {
    let (schedulers, workers) = (scenario.schedulers as u64, scenario.workers as u64);
    let listeners = schedulers * (workers + 1);
    let datagram_sockets = schedulers * schedulers;
    let processes = 8 * schedulers;
    let worker_connections = 2 * schedulers * workers * scenario.slots as u64;
    let clients = (scenario.per_second * scenario.deadline / 1_000.0).ceil() as u64;
    listeners + datagram_sockets + processes + worker_connections + clients + SPARE_DESCRIPTORS
}
