//! What schedulers cost discovery: calls in calm, in doubt and in an outage, for 4 and for 40 of them, by the roster
//! and by the rules that it replaced. On a virtual clock; `cargo run --release -p
//! brackenledge-discovery --example roster_load`.
#![allow(missing_docs)]

#[path = "../tests/common/roster_world.rs"]
mod world;

use brackenledge_discovery::{Call, CallKind, Command, Ending, Listed};
use brackenledge_policy::Readiness;
use fastrand::Rng;
use std::collections::VecDeque;
use world::{Fault, Millis, Node, World, roster, server};

/// The rules before the roster: a watch silent for 2.5 s has failed, one without an answer for 1.2 s is doubled once,
/// and after a failure the decision module asks again within (0.5 to 1.5) x 0.2 x ask-within, 10 s in service.
struct Before {
    calls: Vec<(Call, bool, Millis, Millis, bool)>,
    last: Call,
    ask_at: Millis,
    wake: Millis,
    version: u64,
    rng: Rng,
    commands: VecDeque<Command>,
}

impl Before {
    fn new(seed: u64) -> Self {
        let (ask_at, wake) = (f64::INFINITY, f64::INFINITY);
        let (calls, commands) = (Vec::new(), VecDeque::new());
        Before { calls, last: 0, ask_at, wake, version: 0, rng: Rng::with_seed(seed), commands }
    }

    fn ask(&mut self, now: Millis) {
        self.last += 1;
        self.calls.push((self.last, false, now, now, false));
        self.commands.push_back(Command::Ask { call: self.last, kind: CallKind::Watch, since: self.version });
        self.set(now);
    }

    fn failed(&mut self, now: Millis) {
        if self.calls.is_empty() {
            self.ask_at = now + (0.5 + self.rng.f64()) * 2_000.0;
        }
        self.set(now);
    }

    fn set(&mut self, now: Millis) {
        let limit = |call: &(Call, bool, Millis, Millis, bool)| {
            if call.1 {
                call.3 + 2_500.0
            } else if !call.4 {
                call.3 + if call.2 == call.3 { 400.0 } else { 1_200.0 }
            } else {
                call.3 + 4_500.0
            }
        };
        self.wake = self.calls.iter().map(limit).fold(self.ask_at, f64::min).max(now + 1.0);
    }

    fn call(&mut self, call: Call) -> Option<&mut (Call, bool, Millis, Millis, bool)> {
        self.calls.iter_mut().find(|known| known.0 == call)
    }
}

impl Node for Before {
    fn want(&mut self, now: Millis) {
        self.ask_at = now + 2_000.0 * self.rng.f64();
        self.set(now);
    }
    fn up(&mut self, now: Millis, call: Call) {
        if let Some(call) = self.call(call) {
            (call.2, call.3) = (now - 1.0, now);
        }
        self.set(now);
    }
    fn answered(&mut self, now: Millis, call: Call) {
        if let Some(state) = self.call(call) {
            (state.1, state.3) = (true, now);
            let others: Vec<Call> = self.calls.iter().map(|c| c.0).filter(|&c| c != call).collect();
            self.calls.retain(|c| c.0 == call);
            self.commands.extend(others.into_iter().map(|call| Command::Drop { call }));
        }
        self.set(now);
    }
    fn entry(&mut self, _: Millis, _: Call, _: Listed) {}
    fn line(&mut self, now: Millis, call: Call, index: u64, _: bool) {
        self.version = index;
        self.bytes(now, call, false);
    }
    fn beat(&mut self, now: Millis, call: Call) {
        self.bytes(now, call, false);
    }
    fn bytes(&mut self, now: Millis, call: Call, _: bool) {
        if let Some(call) = self.call(call) {
            call.3 = now;
        }
        self.set(now);
    }
    fn ended(&mut self, now: Millis, call: Call, _: Ending) {
        self.calls.retain(|known| known.0 != call);
        self.failed(now);
    }
    fn heard(&mut self, _: Millis, _: u32, _: &str) {}
    fn handle_timeout(&mut self, now: Millis) {
        if now >= self.ask_at {
            self.ask_at = f64::INFINITY;
            self.ask(now);
        }
        let mut dead = Vec::new();
        let mut double = false;
        let count = self.calls.len();
        for call in &mut self.calls {
            let connecting = !call.1 && call.2 == call.3;
            let limit = if call.1 {
                2_500.0
            } else if connecting {
                400.0
            } else {
                4_500.0
            };
            if now >= call.3 + limit {
                dead.push(call.0);
            } else if !call.1 && !connecting && !call.4 && now >= call.3 + 1_200.0 {
                call.4 = true;
                double = count == 1;
            }
        }
        if double {
            self.ask(now);
        }
        for call in dead {
            self.calls.retain(|known| known.0 != call);
            self.commands.push_back(Command::Drop { call });
            self.failed(now);
        }
        self.set(now);
    }
    fn next_timeout(&self) -> Millis {
        self.wake
    }
    fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }
}

/// Calls a second made by all schedulers together, the most in one second, and for how long a server was still taken
/// for ready after its drain was listed, in milliseconds of the 5 s looked at, on average over schedulers and drains.
fn measure<N: Node>(nodes: Vec<N>, what: &str, unaware: impl Fn(&N, u64) -> bool) -> (f64, u64, f64) {
    let count = nodes.len();
    let mut world = World::new(nodes, 11);
    (0..12).for_each(|n| world.change(server(&format!("s{n}"), Readiness::Ready)));
    world.start();
    world.run_until(30_000.0);
    let (asked, mut most, mut last) = (world.asked, 0, world.asked);
    let (mut waits, mut changes) = (0.0, 0u32);
    let mut drained: Option<(Millis, u64)> = None;
    if what == "outage" {
        world.set_down(true);
    }
    for second in 0..60 {
        if what == "doubt" {
            // In every second a tenth of the links breaks lines off or falls silent, and a tenth heals.
            for _ in 0..count.div_ceil(10) {
                let (bad, good) = (world.rng.usize(..count), world.rng.usize(..count));
                let fault = [Fault::Cut, Fault::Stall, Fault::BlackHole][world.rng.usize(..3)];
                world.set_fault(bad, fault);
                world.set_fault(good, Fault::None);
            }
        }
        if second % 5 == 0 && what != "outage" {
            let state = if second % 10 == 0 { Readiness::Draining } else { Readiness::Ready };
            world.change(server("s3", state));
            drained = (state == Readiness::Draining).then_some((world.now, world.index));
            changes += if drained.is_some() { count as u32 } else { 0 };
        }
        let second_ends = 30_000.0 + 1_000.0 * f64::from(second + 1);
        while let Some((since, index)) = drained
            && world.now < second_ends.min(since + 5_000.0) - 10.0
        {
            world.run_until(world.now + 10.0);
            waits += 10.0 * world.nodes.iter().filter(|node| unaware(node, index)).count() as f64;
        }
        world.run_until(30_000.0 + 1_000.0 * f64::from(second + 1));
        most = most.max(world.asked - last);
        last = world.asked;
    }
    let mean = if changes == 0 { f64::NAN } else { waits / f64::from(changes) };
    ((world.asked - asked) as f64 / 60.0, most, mean)
}

fn main() {
    println!(
        "{:<8} {:>10} {:>8} {:>9} {:>14} {:>20}",
        "", "schedulers", "rules", "calls/s", "most in 1 s", "unaware, ms of 5000"
    );
    for what in ["calm", "doubt", "outage"] {
        for count in [4u32, 40] {
            let old = (0..count).map(|n| Before::new(u64::from(n))).collect();
            let new = (0..count).map(|n| roster(0.0, n, count, true)).collect();
            let rows = [
                ("before", measure(old, what, |node: &Before, index| node.version < index)),
                ("roster", measure(new, what, |node, _| node.find("s3").is_some_and(|id| node.ready(id)))),
            ];
            for (rules, (calls, most, mean)) in rows {
                let mean = if mean.is_nan() { "-".to_owned() } else { format!("{mean:.0}") };
                println!("{what:<8} {count:>10} {rules:>8} {calls:>9.2} {most:>14} {mean:>20}");
            }
        }
    }
}
