//! The scheduler's side of the simulation.

use super::MAX_LIST_AGE;
use brackenledge_discovery::{
    Command, DiscoverySettings, EndpointDirectory, EndpointRecord, RequestEnd, RequestId,
};
use brackenledge_policy::Readiness;

pub type Millis = f64;

/// A scheduler in the simulation: an endpoint directory, or other rules to compare it with.
pub trait Node {
    fn start_watching(&mut self, now: Millis);
    fn connected(&mut self, now: Millis, request: RequestId);
    fn response_head(&mut self, now: Millis, request: RequestId);
    fn entry(&mut self, now: Millis, request: RequestId, entry: EndpointRecord);
    fn update(&mut self, now: Millis, request: RequestId, revision: u64, snapshot: bool);
    fn keep_alive(&mut self, now: Millis, request: RequestId);
    fn bytes(&mut self, now: Millis, request: RequestId, mid_update: bool);
    fn request_end(&mut self, now: Millis, request: RequestId, end: RequestEnd);
    fn message(&mut self, now: Millis, from: u16, text: &str);
    fn handle_timeout(&mut self, now: Millis);
    fn next_timeout(&self) -> Millis;
    fn poll_command(&mut self) -> Option<Command>;
}

impl Node for EndpointDirectory {
    fn start_watching(&mut self, now: Millis) {
        EndpointDirectory::set_watching(self, now, true);
    }
    fn connected(&mut self, now: Millis, request: RequestId) {
        self.handle_connected(now, request);
    }
    fn response_head(&mut self, now: Millis, request: RequestId) {
        self.handle_response_head(now, request);
    }
    fn entry(&mut self, now: Millis, request: RequestId, entry: EndpointRecord) {
        self.handle_entry(now, request, entry);
    }
    fn update(&mut self, now: Millis, request: RequestId, revision: u64, snapshot: bool) {
        self.handle_update(now, request, revision, snapshot);
    }
    fn keep_alive(&mut self, now: Millis, request: RequestId) {
        self.handle_keep_alive(now, request);
    }
    fn bytes(&mut self, now: Millis, request: RequestId, mid_update: bool) {
        self.handle_bytes(now, request, mid_update);
    }
    fn request_end(&mut self, now: Millis, request: RequestId, end: RequestEnd) {
        self.handle_request_end(now, request, end);
    }
    fn message(&mut self, now: Millis, from: u16, text: &str) {
        EndpointDirectory::handle_message(self, now, from, text);
    }
    fn handle_timeout(&mut self, now: Millis) {
        EndpointDirectory::handle_timeout(self, now);
    }
    fn next_timeout(&self) -> Millis {
        EndpointDirectory::next_timeout(self)
    }
    fn poll_command(&mut self) -> Option<Command> {
        EndpointDirectory::poll_command(self)
    }
}

pub fn directory(now: Millis, ordinal: u16, schedulers: u16, gossip: bool) -> EndpointDirectory {
    EndpointDirectory::new(
        now,
        DiscoverySettings {
            ordinal,
            schedulers,
            gossip,
            push_mode: false,
            max_list_age: MAX_LIST_AGE,
            seed: 77 + u64::from(ordinal),
        },
    )
}

pub fn endpoint(name: &str, readiness: Readiness) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        address: "10.0.0.1:80".parse().ok(),
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: None,
    }
}
