//! The rules in [`crate::rules`], except the one on drains. Each has a function that returns its violations.

use super::Violation;
use super::observations::{Attempt, Observations, Request};
use super::request_outcome::{RequestOutcome, request_outcome};
use crate::Millis;
use crate::history::{HistoryEvent, RequestEnd};
use crate::rules::{ANSWERS, FENCING, MESSAGES, RETRIES, SLOW_START};
use crate::scenario::{COIN_BUY, DEDUPLICATION_WINDOW, FARM_VIEW, MARKET_SALE, Scenario};
use brackenledge_leases::{Role, Term};
use std::collections::{BTreeMap, HashMap};

/// The work that reaches a warming worker is summed over a sliding window of this length.
const SLOW_START_SPAN: Millis = 3_000.0;
/// The work within the window may be this multiple of the worker's capacity.
const SLOW_START_MULTIPLE: f64 = 4.0;
/// Maximum length of a datagram between schedulers.
const MAX_MESSAGE_BYTES: usize = 256;

/// Each request gets one answer, in time, with a result that a worker produced for its job.
pub fn answers(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |at, description| violations.push(Violation { rule: ANSWERS, at, description });
    for (id, request) in &observations.requests {
        for &at in &request.resent_after_attempt {
            add(
                at,
                format!("{id}: its reused connection was closed after the scheduler had read the request"),
            );
        }
    }
    let results = observations.results_by_job();
    for (id, request, _) in observations.sent_requests() {
        let scheduler = request.scheduler;
        if let Some(second) = request.ends.get(1) {
            add(second.at, format!("{id} at scheduler {scheduler}: ended {} times", request.ends.len()));
        }
        let outcome = request_outcome(request, &results[&request.job], observations);
        if let RequestOutcome::Violation { at, description } = outcome {
            add(at, format!("{id} at scheduler {scheduler}: {description}"));
        }
    }
    violations
}

/// No request that may have been executed is rejected or sent again, unless its class allows it.
pub fn retries(observations: &Observations, scenario: &Scenario) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request, class) in observations.sent_requests() {
        violations.extend(retries_of_request(id, request, class, scenario));
    }
    violations
}

fn retries_of_request(id: &str, request: &Request, class: usize, scenario: &Scenario) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |at, description| violations.push(Violation { rule: RETRIES, at, description });
    let Some(executed) = request.attempts.iter().position(|attempt| !attempt.returned) else {
        return violations;
    };
    let first = request.attempts[executed];
    let sent = format!("{id}, sent to worker {} at {:.0} ms", first.worker, first.received_at);
    let rejected = request.ends.first().filter(|end| end.end == RequestEnd::Rejected);
    if let Some(end) = rejected.filter(|_| class != FARM_VIEW) {
        add(end.at, format!("{sent}: rejected although it may have run"));
    }
    // A later attempt counts even if its worker returns it: it was a hedged request all the same.
    let others = request.attempts.iter().enumerate().filter(|&(number, _)| number != executed);
    for (_, retry) in others.filter(|(_, attempt)| attempt.received_at > first.received_at) {
        if let Some(reason) = forbidden_retry(&first, retry, class, scenario) {
            add(retry.received_at, format!("{sent} and to worker {}: {reason}", retry.worker));
        }
    }
    violations
}

/// Why a class forbids a retry after an attempt that may have been executed.
fn forbidden_retry(
    first: &Attempt,
    retry: &Attempt,
    class: usize,
    scenario: &Scenario,
) -> Option<&'static str> {
    let same_zone = scenario.zone_of(retry.worker) == scenario.zone_of(first.worker);
    let in_window = retry.received_at <= first.received_at + DEDUPLICATION_WINDOW;
    match class {
        MARKET_SALE => Some("it may have run, and its class allows no retry"),
        COIN_BUY if !same_zone => Some("it may have run in another zone"),
        COIN_BUY if !in_window => Some("it may have run, and its deduplication window is over"),
        _ => None,
    }
}

/// Attempts that have reached a worker since it started.
struct WarmUp {
    started_at: Millis,
    /// Time of arrival and run time of each attempt.
    received: Vec<(Millis, Millis)>,
}

/// No worker gets far more work than its capacity while it warms up.
pub fn slow_start(history: &[HistoryEvent], scenario: &Scenario) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut warm_ups: HashMap<usize, WarmUp> = HashMap::new();
    for event in history {
        match event {
            HistoryEvent::WorkerStarted { at, worker } => {
                warm_ups.insert(*worker, WarmUp { started_at: *at, received: Vec::new() });
            }
            HistoryEvent::AttemptReceived { at, worker, run_time, .. } => {
                let Some(warm_up) = warm_ups.get_mut(worker) else { continue };
                warm_up.received.push((*at, *run_time));
                if let Some(overload) = overload(warm_up, *at, scenario) {
                    let description = format!("worker {worker}: {overload}");
                    violations.push(Violation { rule: SLOW_START, at: *at, description });
                    warm_up.received.clear();
                }
            }
            _ => {}
        }
    }
    violations
}

/// Describes the overload of a warming worker, if there is one.
fn overload(warm_up: &WarmUp, now: Millis, scenario: &Scenario) -> Option<String> {
    let since = warm_up.started_at;
    let from = (now - SLOW_START_SPAN).max(since);
    let recent = warm_up.received.iter().filter(|(at, _)| *at > from);
    let work: Millis = recent.map(|(_, run_time)| run_time).sum();
    let capacity = capacity(scenario, from - since, now - since);
    // Plus two run times on all slots, so that the first jobs do not count as overload.
    let allowed = SLOW_START_MULTIPLE * capacity + 2.0 * scenario.run_time * scenario.slots as f64;
    (work > allowed).then(|| {
        let age = now - since;
        format!("started {age:.0} ms ago, got {work:.0} ms of work for a capacity of {capacity:.0} ms")
    })
}

/// The work that a worker can do between two times, both measured from its start.
fn capacity(scenario: &Scenario, from: Millis, until: Millis) -> Millis {
    let (initial, warm_up) = (scenario.initial_capacity, scenario.warm_up.max(1.0));
    // Capacity grows linearly until the end of the warm-up; this is its integral from 0 to `t`.
    let integral = |t: Millis| {
        let warming = t.min(warm_up);
        initial * warming + (1.0 - initial) * warming * warming / (2.0 * warm_up) + (t - warming)
    };
    (integral(until) - integral(from)) * scenario.slots as f64
}

/// No datagram between schedulers exceeds [`MAX_MESSAGE_BYTES`].
pub fn messages(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in history {
        if let HistoryEvent::PeerMessage { at, scheduler, bytes } = event
            && *bytes > MAX_MESSAGE_BYTES
        {
            let description = format!(
                "scheduler {scheduler} sent a datagram of {bytes} bytes, more than {MAX_MESSAGE_BYTES}"
            );
            violations.push(Violation { rule: MESSAGES, at: *at, description });
        }
    }
    violations
}

/// No two processes hold one lease or act under one term, and terms of one subject never decrease.
pub fn fencing(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = fenced_actions(history);
    violations.extend(role_terms(history));
    violations
}

fn fenced_actions(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    // The newest term by action and subject, with the process that acted under it.
    let mut newest: HashMap<(&str, &str), (u64, usize)> = HashMap::new();
    for event in history {
        let HistoryEvent::FencedAction { at, action, subject, term, process } = event else { continue };
        let latest = newest.entry((action, subject)).or_insert((*term, *process));
        if *term < latest.0 || (*term == latest.0 && *process != latest.1) {
            let description = format!(
                "{action} of {subject}: process {process} under term {term}, after process {} under term {}",
                latest.1, latest.0
            );
            violations.push(Violation { rule: FENCING, at: *at, description });
        } else {
            *latest = (*term, *process);
        }
    }
    violations
}

fn role_terms(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut holders: BTreeMap<(Role, Term), usize> = BTreeMap::new();
    for event in history {
        let (at, role, term, holder) = match event {
            HistoryEvent::RoleAnnounced { at, role, term, holder, .. } => (at, role, term, holder),
            HistoryEvent::FencedMessage { at, role, term, sender, .. } => (at, role, term, sender),
            _ => continue,
        };
        let first = *holders.entry((*role, *term)).or_insert(*holder);
        if first != *holder {
            let description = format!(
                "role {role}: scheduler {holder} under term {term}, which belongs to scheduler {first}"
            );
            violations.push(Violation { rule: FENCING, at: *at, description });
        }
    }
    violations
}
