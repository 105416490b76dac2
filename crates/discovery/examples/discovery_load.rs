//! The load of 4 and of 40 schedulers on discovery in calm, with faulty connections and in an outage, by the endpoint
//! directory and by the rules that it replaced. On a virtual clock; `cargo run --release -p brackenledge-discovery
//! --example discovery_load`.
#![allow(missing_docs)]

#[path = "../tests/support/simulated_discovery/mod.rs"]
mod simulated_discovery;

use brackenledge_discovery::{Command, EndpointRecord, RequestEnd, RequestId, RequestKind};
use brackenledge_policy::Readiness;
use fastrand::Rng;
use simulated_discovery::{Fault, Millis, Node, World, directory, endpoint};
use std::collections::VecDeque;

/// A request under the earlier rules.
struct EarlierRequest {
    id: RequestId,
    connected: bool,
    answered: bool,
    active_at: Millis,
    /// A second watch was opened beside it.
    doubled: bool,
}

impl EarlierRequest {
    /// After so much silence the next thing happens: it fails, or a second watch is opened.
    fn next_limit(&self) -> Millis {
        match (self.answered, self.connected) {
            (true, _) => 2_500.0,
            _ if self.doubled => 4_500.0,
            (false, false) => 400.0,
            (false, true) => 1_200.0,
        }
    }

    /// After so much silence it fails.
    fn failure_limit(&self) -> Millis {
        match (self.answered, self.connected) {
            (true, _) => 2_500.0,
            (false, false) => 400.0,
            (false, true) => 4_500.0,
        }
    }
}

/// The rules before this crate: a watch silent for 2.5 s has failed, one without an answer for 1.2 s is doubled once,
/// and after a failure the policy asks again within (0.5 to 1.5) x 0.2 x ask-within, 10 s in service.
struct EarlierRules {
    requests: Vec<EarlierRequest>,
    last_id: u64,
    retry_at: Millis,
    next_timeout: Millis,
    revision: u64,
    rng: Rng,
    commands: VecDeque<Command>,
}

impl EarlierRules {
    fn new(seed: u64) -> Self {
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
            doubled: false,
        });
        self.commands.push_back(Command::OpenRequest {
            request: id,
            kind: RequestKind::Watch,
            since_revision: self.revision,
        });
        self.schedule(now);
    }

    fn failed(&mut self, now: Millis) {
        if self.requests.is_empty() {
            self.retry_at = now + (0.5 + self.rng.f64()) * 2_000.0;
        }
        self.schedule(now);
    }

    fn schedule(&mut self, now: Millis) {
        let limit = |request: &EarlierRequest| request.active_at + request.next_limit();
        self.next_timeout = self.requests.iter().map(limit).fold(self.retry_at, f64::min).max(now + 1.0);
    }

    fn request(&mut self, id: RequestId) -> Option<&mut EarlierRequest> {
        self.requests.iter_mut().find(|known| known.id == id)
    }
}

impl Node for EarlierRules {
    fn start_watching(&mut self, now: Millis) {
        self.retry_at = now + 2_000.0 * self.rng.f64();
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
        self.failed(now);
    }
    fn message(&mut self, _: Millis, _: u32, _: &str) {}
    fn handle_timeout(&mut self, now: Millis) {
        if now >= self.retry_at {
            self.retry_at = f64::INFINITY;
            self.open_watch(now);
        }
        let mut dead = Vec::new();
        let mut open_second = false;
        let count = self.requests.len();
        for request in &mut self.requests {
            let unanswered = request.connected && !request.answered;
            if now >= request.active_at + request.failure_limit() {
                dead.push(request.id);
            } else if unanswered && !request.doubled && now >= request.active_at + 1_200.0 {
                request.doubled = true;
                open_second = count == 1;
            }
        }
        if open_second {
            self.open_watch(now);
        }
        for request in dead {
            self.requests.retain(|known| known.id != request);
            self.commands.push_back(Command::CancelRequest { request });
            self.failed(now);
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

/// What happens to the schedulers' connections while the load is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Conditions {
    Calm,
    /// In every second a tenth of the connections breaks updates off or falls silent, and a tenth heals.
    Faults,
    Outage,
}

/// What was measured.
struct Load {
    /// Requests by all schedulers together.
    requests_per_second: f64,
    most_in_one_second: u64,
    /// For how long a drained endpoint was still taken for ready, in milliseconds of the 5 s after its drain, on average
    /// over schedulers and drains; `None` if nothing drained.
    mean_unaware: Option<Millis>,
}

const WARM_UP: Millis = 30_000.0;
const SECONDS: u32 = 60;
/// The list changes this often, every other time by a drain.
const SECONDS_BETWEEN_CHANGES: u32 = 5;
const STEP: Millis = 10.0;

fn break_connections<N: Node>(world: &mut World<N>) {
    let count = world.nodes.len();
    for _ in 0..count.div_ceil(10) {
        let (bad, good) = (world.rng.usize(..count), world.rng.usize(..count));
        let faults = [Fault::EndMidUpdate, Fault::StallMidUpdate, Fault::BlackHole];
        let fault = faults[world.rng.usize(..faults.len())];
        world.set_fault(bad, fault);
        world.set_fault(good, Fault::None);
    }
}

/// Measures the load; `unaware` tells whether a node has not been notified of a drain of this revision.
fn measure<N: Node>(nodes: Vec<N>, conditions: Conditions, unaware: impl Fn(&N, u64) -> bool) -> Load {
    let count = nodes.len();
    let mut world = World::new(nodes, 11);
    (0..12).for_each(|n| world.change(endpoint(&format!("s{n}"), Readiness::Ready)));
    world.start();
    world.run_until(WARM_UP);
    let (before, mut most, mut last) = (world.requests_opened, 0, world.requests_opened);
    let (mut unaware_for, mut drains) = (0.0, 0u32);
    let mut drained: Option<(Millis, u64)> = None;
    if conditions == Conditions::Outage {
        world.set_down(true);
    }
    for second in 0..SECONDS {
        if conditions == Conditions::Faults {
            break_connections(&mut world);
        }
        if second % SECONDS_BETWEEN_CHANGES == 0 && conditions != Conditions::Outage {
            let drains_now = second % (2 * SECONDS_BETWEEN_CHANGES) == 0;
            let readiness = if drains_now { Readiness::Draining } else { Readiness::Ready };
            world.change(endpoint("s3", readiness));
            drained = drains_now.then_some((world.now, world.revision));
            drains += u32::from(drains_now);
        }
        let second_ends = WARM_UP + 1_000.0 * f64::from(second + 1);
        while let Some((since, revision)) = drained
            && world.now < second_ends.min(since + 5_000.0) - STEP
        {
            world.run_until(world.now + STEP);
            unaware_for += STEP * world.nodes.iter().filter(|node| unaware(node, revision)).count() as f64;
        }
        world.run_until(second_ends);
        most = most.max(world.requests_opened - last);
        last = world.requests_opened;
    }
    Load {
        requests_per_second: (world.requests_opened - before) as f64 / f64::from(SECONDS),
        most_in_one_second: most,
        mean_unaware: (drains > 0).then(|| unaware_for / (f64::from(drains) * count as f64)),
    }
}

fn main() {
    println!(
        "{:<8} {:>10} {:>9} {:>10} {:>14} {:>20}",
        "", "schedulers", "rules", "requests/s", "most in 1 s", "unaware, ms of 5000"
    );
    for conditions in [Conditions::Calm, Conditions::Faults, Conditions::Outage] {
        for count in [4u32, 40] {
            let old = (0..count).map(|n| EarlierRules::new(u64::from(n))).collect();
            let new = (0..count).map(|n| directory(0.0, n, count, true)).collect();
            let rows = [
                (
                    "earlier",
                    measure(old, conditions, |node: &EarlierRules, revision| node.revision < revision),
                ),
                (
                    "directory",
                    measure(new, conditions, |node, _| node.find("s3").is_some_and(|id| node.is_ready(id))),
                ),
            ];
            for (rules, load) in rows {
                let Load { requests_per_second, most_in_one_second, mean_unaware } = load;
                let mean = mean_unaware.map_or("-".to_owned(), |mean| format!("{mean:.0}"));
                let name = format!("{conditions:?}").to_lowercase();
                println!(
                    "{name:<8} {count:>10} {rules:>9} {requests_per_second:>10.2} \
                     {most_in_one_second:>14} {mean:>20}"
                );
            }
        }
    }
}
