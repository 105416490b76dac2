//! The discovery client: which requests are open, when each counts as late, and when the next one is opened.
//!
//! A broken watch looks like one that has nothing to report, and discovery regards everything it has written
//! to a watch as received. The client therefore judges silence by the cadence of the protocol: the parts of
//! an update arrive within milliseconds of one another, and a keep-alive arrives every two seconds. A late
//! watch is suspected long before it is given up, and a second watch is opened beside it; the first of the
//! two to deliver a complete update is kept.
//!
//! Each request takes a token from a token bucket. The bucket's rate is divided among the schedulers, because
//! one discovery service handles the requests of all schedulers one after another. Retry pauses double with
//! each failure and are multiplied by a random factor between 0.5 and 1.5, so that schedulers do not retry in
//! lockstep. ("Full jitter" could reduce a pause to zero.)
//!
//! | phase | late after | given up after |
//! | --- | --- | --- |
//! | connecting | | 0.4 s |
//! | awaiting the response | 1.2 to 3.5 s, depending on the number of schedulers | 4.5 s |
//! | streaming, within an update | 0.15 s | 2.25 s |
//! | streaming, between updates | 2.25 s | 4.5 s |

mod freshness;
mod request;
mod timing;

pub use freshness::Freshness;
pub use request::{OpenReason, RequestEnd, RequestId, RequestKind};
pub use timing::RequestPhase;

use crate::event::{RequestEvent, RequestFailure};
use crate::settings::DiscoverySettings;
use crate::token_bucket::TokenBucket;
use brackenledge_policy::Millis;
use fastrand::Rng;
use request::Request;
use std::collections::VecDeque;
use timing::{Backoff, ClientTiming, MAX_RESPONSE_LATE};

/// The list is stale once no keep-alive, update or list has arrived for this long.
const STALE_AFTER: Millis = 5_000.0;
/// Updates that discovery writes to a silent watch count as received this long after the watch's last byte.
/// Until then, retries do not wait for tokens.
const SILENCE_GRACE: Millis = 6_000.0;
/// Maximum number of watches open at once while each of them is late or suspected.
const MAX_WATCHES: usize = 3;
/// Capacity of the token bucket, in requests.
const REQUEST_BURST: f64 = 5.0;
/// Requests that can be opened after discovery's address has changed, however few tokens are left.
const MIN_TOKENS_AFTER_ADDRESS_CHANGE: f64 = 2.0;
/// Tokens that a request costs.
const REQUEST_COST: f64 = 1.0;
/// Tokens that suffice for a request. Slightly less than [`REQUEST_COST`], because the time at which a whole
/// token is available is rounded.
const REQUEST_COST_WITH_TOLERANCE: f64 = REQUEST_COST - 1e-6;

/// A command to the endpoint directory, which owns the client.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClientCommand {
    Open {
        request: RequestId,
        kind: RequestKind,
        reason: OpenReason,
        /// It is a watch, and another one is open already.
        is_second_watch: bool,
    },
    Cancel {
        request: RequestId,
    },
    Event(RequestEvent),
}

/// The state machine of watches and polls.
pub(crate) struct DiscoveryClient {
    /// A watch should be open.
    watching: bool,
    /// A poll should be opened.
    poll_requested: bool,
    /// A second watch should be opened beside the open one, for this reason.
    second_watch_requested: Option<OpenReason>,
    requests: Vec<Request>,
    last_id: u64,
    consecutive_failures: u32,
    /// No request is opened before this time.
    retry_at: Millis,
    /// When the open watch is to be replaced, even if it works; infinite until a watch has first delivered.
    rotate_watch_at: Millis,
    /// When discovery last confirmed or changed the list; negative infinity if it has not yet.
    confirmed_at: Millis,
    /// From this time on a wanted request is opened even without a token, since the list held would otherwise
    /// become too old. Infinite if no request is to be forced.
    forced_request_at: Millis,
    /// When a working watch fell silent. Also set by a request that has waited for its response for longer
    /// than discovery's queue can explain. `None` once a watch that is not suspected has delivered.
    silent_since: Option<Millis>,
    budget: TokenBucket,
    timing: ClientTiming,
    rng: Rng,
    commands: VecDeque<ClientCommand>,
}

impl DiscoveryClient {
    pub(crate) fn new(now: Millis, settings: &DiscoverySettings, seed: u64) -> Self {
        let timing = ClientTiming::new(settings);
        DiscoveryClient {
            watching: settings.push_mode,
            poll_requested: false,
            second_watch_requested: None,
            requests: Vec::new(),
            last_id: 0,
            consecutive_failures: 0,
            retry_at: now,
            rotate_watch_at: Millis::INFINITY,
            confirmed_at: Millis::NEG_INFINITY,
            forced_request_at: Millis::INFINITY,
            silent_since: None,
            budget: TokenBucket::new(now, REQUEST_BURST, timing.request_rate),
            timing,
            rng: Rng::with_seed(seed),
            commands: VecDeque::new(),
        }
    }

    /// Starts or ends the subscription to changes. Starting it again has no effect.
    pub(crate) fn set_watching(&mut self, now: Millis, watching: bool) {
        if watching && !self.watching {
            self.retry_at = now;
        }
        self.watching = watching;
        if !watching {
            self.cancel_watches(|_| true);
        }
    }

    /// Requests the whole list once.
    pub(crate) fn request_poll(&mut self, now: Millis) {
        self.poll_requested = true;
        self.retry_at = self.retry_at.min(now);
    }

    /// Opens a watch to discovery's new address and suspects the requests to the old one.
    pub(crate) fn handle_address_change(&mut self, now: Millis) {
        for request in &mut self.requests {
            request.suspected = true;
            request.address_outdated = true;
        }
        // The service at the old address is about to end its watches and does not answer requests that are
        // still waiting.
        self.cancel_watches(|request| !request.is_streaming());
        self.consecutive_failures = 0;
        self.retry_at = now;
        self.second_watch_requested = Some(OpenReason::AddressChanged);
        self.budget.raise_to(MIN_TOKENS_AFTER_ADDRESS_CHANGE);
        self.forced_request_at = now;
    }

    /// Suspects the open watches, since a peer holds a revision that they have not delivered.
    pub(crate) fn suspect_watch(&mut self) {
        for request in self.requests.iter_mut().filter(|request| request.is_streaming()) {
            request.suspected = true;
        }
        self.second_watch_requested = Some(OpenReason::RevisionMissing);
    }

    pub(crate) fn is_watch(&self, id: RequestId) -> bool {
        self.requests.iter().any(|request| request.id == id && request.is_watch())
    }

    fn request_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.iter_mut().find(|request| request.id == id)
    }

    /// The request's connection is established.
    pub(crate) fn handle_connected(&mut self, now: Millis, id: RequestId) {
        let request = self.request_mut(id).filter(|request| request.phase == RequestPhase::Connecting);
        if let Some(request) = request {
            request.phase = RequestPhase::AwaitingResponse;
            request.active_at = now;
        }
    }

    /// The head of the request's response has arrived.
    pub(crate) fn handle_response_head(&mut self, now: Millis, id: RequestId) {
        if let Some(request) = self.request_mut(id) {
            request.phase = RequestPhase::Streaming { mid_update: false };
            request.active_at = now;
        }
    }

    /// Bytes of the response have arrived. `mid_update` tells whether they end within an update.
    pub(crate) fn handle_bytes(&mut self, now: Millis, id: RequestId, mid_update: bool) {
        if let Some(request) = self.request_mut(id) {
            request.active_at = now;
            if request.is_streaming() {
                request.phase = RequestPhase::Streaming { mid_update };
            }
        }
    }

    /// A complete update or a keep-alive has arrived: the request works, and the table is up to date.
    /// `is_new_revision` tells whether it delivered a revision other than the one held. A second watch that
    /// delivers no new revision shows that the first one has missed nothing. The second is then cancelled,
    /// because an overloaded discovery service may break off a watch that it has only just answered.
    pub(crate) fn handle_update(&mut self, now: Millis, id: RequestId, is_new_revision: bool) {
        self.handle_bytes(now, id, false);
        let Some(request) = self.request_mut(id) else { return };
        if !request.is_watch() {
            self.confirmed_at = now;
            return;
        }
        request.late = false;
        request.has_delivered = true;
        if request.suspected {
            // It is alive but may lack a revision that peers hold, or goes to an old address. The update of
            // another watch decides which one is kept.
            return;
        }
        self.confirmed_at = now;
        self.second_watch_requested = None;
        self.consecutive_failures = 0;
        self.forced_request_at = Millis::INFINITY;
        self.silent_since = None;
        self.keep_one_watch(now, id, is_new_revision);
    }

    /// Cancels all watches but one: the watch that was just updated or, if the update delivered no new
    /// revision, the oldest working watch.
    fn keep_one_watch(&mut self, now: Millis, updated: RequestId, is_new_revision: bool) {
        let kept = match self.requests.iter_mut().find(|request| request.is_working_watch()) {
            Some(oldest) if !is_new_revision => {
                oldest.suspected = false;
                oldest.id
            }
            _ => updated,
        };
        if self.open_watch_count() > 1 || self.rotate_watch_at.is_infinite() {
            self.schedule_watch_rotation(now);
        }
        self.cancel_watches(|request| request.id != kept);
    }

    /// A request has ended. Returns the failure, if it is one.
    pub(crate) fn handle_end(
        &mut self,
        now: Millis,
        id: RequestId,
        end: RequestEnd,
    ) -> Option<RequestFailure> {
        let at = self.requests.iter().position(|request| request.id == id)?;
        let request = self.requests.remove(at);
        let Some(cause) = request.failure_cause(end) else {
            self.confirmed_at = now;
            return None;
        };
        self.poll_requested |= !request.is_watch();
        let backoff =
            if end == RequestEnd::Rejected { self.timing.rejected_retry } else { self.timing.retry };
        let retry_after = self.schedule_retry(now, backoff);
        if request.has_delivered {
            // Discovery regards what it has written to the watch as received, so updates may have been
            // missed.
            self.forced_request_at = self.retry_at;
        }
        Some(RequestFailure { request: id, kind: request.kind, cause, retry_after })
    }

    /// Schedules the next request after a failure and returns the pause until then.
    fn schedule_retry(&mut self, now: Millis, backoff: Backoff) -> Millis {
        let pause = backoff.pause(self.consecutive_failures) * (0.5 + self.rng.f64());
        self.consecutive_failures += 1;
        // Set even while another watch works, because that one may fail too.
        self.retry_at = now + pause;
        let may_miss_updates = self.silent_since.is_some_and(|since| now < since + SILENCE_GRACE);
        let max_pause =
            if may_miss_updates { 0.0 } else { self.timing.max_retry_pause * (0.5 + 0.5 * self.rng.f64()) };
        self.forced_request_at = self.retry_at.max(now + max_pause);
        pause
    }

    fn schedule_watch_rotation(&mut self, now: Millis) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        self.rotate_watch_at = now + self.timing.watch_rotation_interval * jitter;
    }

    pub(crate) fn freshness(&self, now: Millis) -> Freshness {
        let is_fresh = |request: &Request| {
            request.is_unsuspected_watch() && request.has_delivered && now < request.late_at(&self.timing)
        };
        if self.requests.iter().any(is_fresh) {
            Freshness::Fresh
        } else if now < self.confirmed_at + STALE_AFTER {
            Freshness::Late
        } else {
            Freshness::Stale
        }
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        let timeout = |request: &Request| {
            if request.late { request.give_up_at(&self.timing) } else { request.late_at(&self.timing) }
        };
        let mut next = self.requests.iter().map(timeout).fold(Millis::INFINITY, Millis::min);
        let stale_at = self.confirmed_at + STALE_AFTER;
        // The bucket is refilled at each `handle_timeout`, so timeouts up to its last refill were handled.
        if stale_at > self.budget.refilled_at() {
            next = next.min(stale_at);
        }
        if self.wants_request() {
            let token_at = self.budget.available_at(REQUEST_COST);
            next = next.min(self.retry_at.max(self.forced_request_at.min(token_at)));
        }
        if self.watching { next.min(self.rotate_watch_at) } else { next }
    }

    fn open_watch_count(&self) -> usize {
        self.requests.iter().filter(|request| request.is_watch()).count()
    }

    fn wants_poll(&self) -> bool {
        self.poll_requested && self.requests.iter().all(Request::is_watch)
    }

    fn wants_watch(&self) -> bool {
        let open = self.open_watch_count();
        let needs_replacement =
            !self.requests.iter().any(Request::is_unsuspected_watch) && open < MAX_WATCHES;
        let needs_second_watch = self.second_watch_requested.is_some() && open < 2;
        self.watching && (open == 0 || needs_replacement || needs_second_watch)
    }

    /// Whether another request should be opened as soon as that is allowed.
    fn wants_request(&self) -> bool {
        self.wants_poll() || self.wants_watch()
    }

    pub(crate) fn handle_timeout(&mut self, now: Millis) {
        for id in self.check_silence(now) {
            self.give_up(now, id);
        }
        if now >= self.rotate_watch_at {
            self.schedule_watch_rotation(now);
            if self.watching {
                self.second_watch_requested.get_or_insert(OpenReason::Rotation);
            }
        }
        self.budget.refill(now);
        while self.wants_request() && now >= self.retry_at && self.may_open_request(now) {
            self.budget.take(REQUEST_COST);
            self.forced_request_at = Millis::INFINITY;
            self.open_request(now);
        }
    }

    fn may_open_request(&self, now: Millis) -> bool {
        self.budget.tokens() >= REQUEST_COST_WITH_TOLERANCE || now >= self.forced_request_at
    }

    /// Marks requests that have become late and returns those to be given up.
    fn check_silence(&mut self, now: Millis) -> Vec<RequestId> {
        let mut given_up = Vec::new();
        // If a response is late only after the longest wait that discovery's queue allows, a late response is
        // as bad a sign as a working watch that falls silent.
        let silent_if_unanswered = self.timing.response_late_after >= MAX_RESPONSE_LATE;
        for request in &mut self.requests {
            if now >= request.give_up_at(&self.timing) {
                given_up.push(request.id);
            } else if now >= request.late_at(&self.timing) && !request.late {
                request.late = true;
                let late = RequestEvent::Late { request: request.id, phase: request.phase };
                self.commands.push_back(ClientCommand::Event(late));
                let unanswered = request.phase == RequestPhase::AwaitingResponse && silent_if_unanswered;
                if request.has_delivered || unanswered {
                    // The next request must not wait for a token.
                    self.forced_request_at = now;
                    self.silent_since.get_or_insert(request.active_at);
                }
            }
        }
        given_up
    }

    fn give_up(&mut self, now: Millis, id: RequestId) {
        let Some(at) = self.requests.iter().position(|request| request.id == id) else { return };
        let request = self.requests.remove(at);
        self.poll_requested |= !request.is_watch();
        self.commands.push_back(ClientCommand::Cancel { request: id });
        let retry_after = self.schedule_retry(now, self.timing.retry);
        let given_up = RequestEvent::GivenUp { request: id, phase: request.phase, retry_after };
        self.commands.push_back(ClientCommand::Event(given_up));
    }

    fn open_request(&mut self, now: Millis) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let kind = if self.wants_poll() { RequestKind::Poll } else { RequestKind::Watch };
        let reason = self.open_reason(kind);
        match kind {
            RequestKind::Poll => self.poll_requested = false,
            RequestKind::Watch => self.second_watch_requested = None,
        }
        let is_second_watch = kind == RequestKind::Watch && self.open_watch_count() > 0;
        self.requests.push(Request::new(now, id, kind));
        self.commands.push_back(ClientCommand::Open { request: id, kind, reason, is_second_watch });
    }

    /// Why the next request of this kind is opened.
    fn open_reason(&self, kind: RequestKind) -> OpenReason {
        match self.second_watch_requested {
            _ if kind == RequestKind::Poll => OpenReason::PollRequested,
            _ if self.open_watch_count() == 0 => OpenReason::NoWatch,
            Some(reason) => reason,
            None => OpenReason::WatchesSuspected,
        }
    }

    fn cancel_watches(&mut self, which: impl Fn(&Request) -> bool) {
        let commands = &mut self.commands;
        self.requests.retain(|request| {
            let cancelled = request.is_watch() && which(request);
            if cancelled {
                commands.push_back(ClientCommand::Cancel { request: request.id });
            }
            !cancelled
        });
    }

    pub(crate) fn poll_command(&mut self) -> Option<ClientCommand> {
        self.commands.pop_front()
    }
}
