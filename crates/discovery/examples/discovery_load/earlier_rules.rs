//! The rules for requests to discovery that the endpoint directory replaced, for comparison.

use crate::simulated_discovery::{Millis, Node};
use brackenledge_discovery::{Command, EndpointRecord, RequestEnd, RequestId, RequestKind};
use fastrand::Rng;
use std::collections::VecDeque;

/// A connection that is not established within this time has failed.
const CONNECT_TIMEOUT: Millis = 400.0;
/// A second watch is opened beside one that has been without a response for this time.
const SECOND_WATCH_DELAY: Millis = 1_200.0;
/// A request without a response for this time has failed.
const RESPONSE_TIMEOUT: Millis = 4_500.0;
/// A watch whose response has begun and that is silent for this time has failed.
const SILENCE_TIMEOUT: Millis = 2_500.0;
/// Mean delay between a failure and the next watch; the actual delay is 0.5 to 1.5 times as long.
const RETRY_DELAY: Millis = 2_000.0;
/// The first watch is opened within this time of the start.
const MAX_START_DELAY: Millis = 2_000.0;

/// A request under the earlier rules.
struct EarlierRequest {
    id: RequestId,
    connected: bool,
    answered: bool,
    active_at: Millis,
    /// A second watch was opened beside it, or it became late while another request was open.
    has_second_watch: bool,
}

impl EarlierRequest {
    /// How long it may be silent until it fails or a second watch is opened beside it.
    fn next_limit(&self) -> Millis {
        match (self.answered, self.connected) {
            (true, _) => SILENCE_TIMEOUT,
            _ if self.has_second_watch => RESPONSE_TIMEOUT,
            (false, false) => CONNECT_TIMEOUT,
            (false, true) => SECOND_WATCH_DELAY,
        }
    }

    /// How long it may be silent until it fails.
    fn failure_limit(&self) -> Millis {
        match (self.answered, self.connected) {
            (true, _) => SILENCE_TIMEOUT,
            (false, false) => CONNECT_TIMEOUT,
            (false, true) => RESPONSE_TIMEOUT,
        }
    }
}

/// A scheduler that follows the earlier rules: a silent watch has failed; a second watch is opened, once,
/// beside one without a response; after the failure of the only open watch, the next one is opened after
/// [`RETRY_DELAY`].
pub struct EarlierRules {
    requests: Vec<EarlierRequest>,
    last_id: u64,
    retry_at: Millis,
    next_timeout: Millis,
    /// The newest revision of the list that was received.
    pub revision: u64,
    rng: Rng,
    commands: VecDeque<Command>,
}

impl EarlierRules {
    pub fn new(seed: u64) -> Self {
        EarlierRules {
            requests: Vec::new(),
            last_id: 0,
            retry_at: f64::INFINITY,
            next_timeout: f64::INFINITY,
            revision: 0,
            rng: Rng::with_seed(seed),
            commands: VecDeque::new(),
        }
    }

    fn open_watch(&mut self, now: Millis) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.requests.push(EarlierRequest {
            id,
            connected: false,
            answered: false,
            active_at: now,
            has_second_watch: false,
        });
        self.commands.push_back(Command::OpenRequest {
            request: id,
            kind: RequestKind::Watch,
            since_revision: self.revision,
        });
        self.schedule(now);
    }

    /// Schedules the next watch if none is left.
    fn on_failure(&mut self, now: Millis) {
        if self.requests.is_empty() {
            self.retry_at = now + (0.5 + self.rng.f64()) * RETRY_DELAY;
        }
        self.schedule(now);
    }

    fn schedule(&mut self, now: Millis) {
        let limit = |request: &EarlierRequest| request.active_at + request.next_limit();
        self.next_timeout = self.requests.iter().map(limit).fold(self.retry_at, f64::min).max(now + 1.0);
    }

    /// Whether the only open request is late. Each request counts as late only once.
    fn needs_second_watch(&mut self, now: Millis) -> bool {
        let is_only = self.requests.len() == 1;
        let mut is_any_late = false;
        for request in &mut self.requests {
            let is_failed = now >= request.active_at + request.failure_limit();
            let awaits_response = request.connected && !request.answered;
            let is_late = now >= request.active_at + SECOND_WATCH_DELAY;
            if !is_failed && awaits_response && is_late && !request.has_second_watch {
                request.has_second_watch = true;
                is_any_late = true;
            }
        }
        is_any_late && is_only
    }

    fn request(&mut self, id: RequestId) -> Option<&mut EarlierRequest> {
        self.requests.iter_mut().find(|known| known.id == id)
    }
}

impl Node for EarlierRules {
    fn start_watching(&mut self, now: Millis) {
        self.retry_at = now + MAX_START_DELAY * self.rng.f64();
        self.schedule(now);
    }
    fn connected(&mut self, now: Millis, request: RequestId) {
        if let Some(request) = self.request(request) {
            (request.connected, request.active_at) = (true, now);
        }
        self.schedule(now);
    }
    fn response_head(&mut self, now: Millis, request: RequestId) {
        if let Some(state) = self.request(request) {
            (state.answered, state.active_at) = (true, now);
            let others: Vec<RequestId> =
                self.requests.iter().map(|known| known.id).filter(|&id| id != request).collect();
            self.requests.retain(|known| known.id == request);
            self.commands.extend(others.into_iter().map(|request| Command::CancelRequest { request }));
        }
        self.schedule(now);
    }
    fn entry(&mut self, _: Millis, _: RequestId, _: EndpointRecord) {}
    fn update(&mut self, now: Millis, request: RequestId, revision: u64, _: bool) {
        self.revision = revision;
        self.bytes(now, request, false);
    }
    fn keep_alive(&mut self, now: Millis, request: RequestId) {
        self.bytes(now, request, false);
    }
    fn bytes(&mut self, now: Millis, request: RequestId, _: bool) {
        if let Some(request) = self.request(request) {
            request.active_at = now;
        }
        self.schedule(now);
    }
    fn request_end(&mut self, now: Millis, request: RequestId, _: RequestEnd) {
        self.requests.retain(|known| known.id != request);
        self.on_failure(now);
    }
    fn message(&mut self, _: Millis, _: u16, _: &str) {}
    fn handle_timeout(&mut self, now: Millis) {
        if now >= self.retry_at {
            self.retry_at = f64::INFINITY;
            self.open_watch(now);
        }
        let is_failed = |request: &EarlierRequest| now >= request.active_at + request.failure_limit();
        let failed: Vec<RequestId> =
            self.requests.iter().filter(|&request| is_failed(request)).map(|request| request.id).collect();
        if self.needs_second_watch(now) {
            self.open_watch(now);
        }
        for request in failed {
            self.requests.retain(|known| known.id != request);
            self.commands.push_back(Command::CancelRequest { request });
            self.on_failure(now);
        }
        self.schedule(now);
    }
    fn next_timeout(&self) -> Millis {
        self.next_timeout
    }
    fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }
}
