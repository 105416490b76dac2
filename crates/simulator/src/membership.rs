//! Simulates cluster membership on a virtual clock: how soon a crash is detected, how often a running process
//! is falsely declared down, and what the protocol costs in messages and CPU time.
//!
//! Apart from the CPU time, a run is a function of its [`MembershipScenario`]. Each scheduler runs the
//! membership crate unchanged. A random process is killed every [`KILL_INTERVAL`] and restarted after half of
//! that time.

use crate::event_queue::{EventQueue, to_micros};
use brackenledge_membership::{Command, Membership, Millis, ProcessId, SwimConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Instant;

/// Network latency of a message.
const MESSAGE_LATENCY: Range<Millis> = 1.0..20.0;
/// Interval between kills of one process, in milliseconds.
pub const KILL_INTERVAL: Millis = 30_000.0;
/// A killed process is restarted after this time.
const RESTART_DELAY: Millis = KILL_INTERVAL / 2.0;
/// Until this time the cluster forms; nothing is counted and no process is killed.
const WARM_UP_TIME: Millis = 30_000.0;
/// False reports on the same process count as one false positive if each follows the previous one within this
/// time.
const FALSE_POSITIVE_WINDOW: Millis = 10_000.0;
const MILLIS_PER_MINUTE: Millis = 60_000.0;
const MILLIS_PER_SECOND: Millis = 1_000.0;

/// The input of a run.
#[derive(Clone, Copy, Debug)]
pub struct MembershipScenario {
    /// Number of schedulers, at least 2.
    pub scheduler_count: usize,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Length on the virtual clock in minutes, not counting the time in which the cluster forms.
    pub minutes: f64,
    /// Seed of the random numbers for latencies, losses and kills.
    pub seed: u64,
}

/// What was measured in a run, without the time in which the cluster forms.
#[derive(Clone, Debug, Default)]
pub struct MembershipResult {
    /// Times until the first other process detected a crash, one for each detected crash.
    pub first_detections: Vec<Millis>,
    /// Times until another process detected a crash, one for each process that did.
    pub detections: Vec<Millis>,
    /// Running processes that were falsely declared down. Reports on the same process count as one if each
    /// follows the previous one within 10 s.
    pub false_positives: usize,
    /// Reports of a running process as down, counted for each process that made one.
    pub false_positive_reports: usize,
    /// Bytes of all messages sent, including those lost.
    pub bytes: u64,
    /// Messages sent, including those lost.
    pub messages: u64,
    /// CPU time of one scheduler, as a fraction of one core. Derived from the wall-clock time that the
    /// single-threaded simulation took, including the time in which the cluster forms.
    pub cpu_per_scheduler: f64,
}

impl MembershipScenario {
    /// Runs the scenario.
    pub fn run(&self) -> MembershipResult {
        let mut simulation = Simulation::new(self);
        (0..self.scheduler_count).for_each(|scheduler| simulation.start(scheduler));
        simulation.schedule(WARM_UP_TIME, Event::Kill);
        let started_at = Instant::now();
        let end = WARM_UP_TIME + self.minutes * MILLIS_PER_MINUTE;
        while let Some((at, event)) = simulation.events.pop_due(end) {
            simulation.now = at;
            simulation.handle_event(event);
        }
        let cpu_per_second = started_at.elapsed().as_secs_f64() / (end / MILLIS_PER_SECOND);
        simulation.result.cpu_per_scheduler = cpu_per_second / self.scheduler_count as f64;
        simulation.result
    }
}

/// The quantile of the values at this fraction from 0 to 1, which is always one of them; NaN if there are
/// none. Sorts the values.
pub fn quantile(values: &mut [Millis], fraction: f64) -> Millis {
    values.sort_by(f64::total_cmp);
    let index = (fraction * values.len() as f64) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

enum Event {
    /// A scheduler's timer. It has no effect once the scheduler has set another, which then has a newer
    /// generation.
    Timer {
        scheduler: usize,
        generation: u64,
    },
    Message {
        to: usize,
        bytes: Vec<u8>,
    },
    Kill,
    Restart {
        scheduler: usize,
    },
}

/// A killed process.
struct Crash {
    at: Millis,
    /// Number of other processes that have detected the crash.
    detection_count: usize,
}

struct Simulation {
    now: Millis,
    rng: ChaCha8Rng,
    loss: f64,
    events: EventQueue<Event>,
    /// The running process of each scheduler; `None` while it is killed.
    members: Vec<Option<Membership>>,
    timer_generations: Vec<u64>,
    crashes: BTreeMap<ProcessId, Crash>,
    /// When a running process was last declared down.
    last_false_reports: BTreeMap<ProcessId, Millis>,
    result: MembershipResult,
}

impl Simulation {
    fn new(scenario: &MembershipScenario) -> Simulation {
        Simulation {
            now: 0.0,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            loss: scenario.loss,
            events: EventQueue::new(),
            members: (0..scenario.scheduler_count).map(|_| None).collect(),
            timer_generations: vec![0; scenario.scheduler_count],
            crashes: BTreeMap::new(),
            last_false_reports: BTreeMap::new(),
            result: MembershipResult::default(),
        }
    }

    /// Schedules an event one microsecond late. A timer that fired early by a rounding error would be set for
    /// the same time again, without end.
    fn schedule(&mut self, at: Millis, event: Event) {
        self.events.schedule(to_micros(at) + 1, event);
    }

    fn start(&mut self, scheduler: usize) {
        let scheduler_count = self.members.len();
        let seed_nodes =
            (0..scheduler_count).filter(|&other| other != scheduler).map(|other| other as u16).collect();
        let me = ProcessId { ordinal: scheduler as u16, incarnation: 1 + self.now as u64 };
        let config = SwimConfig::for_cluster_size(scheduler_count);
        let rng_seed = self.events.scheduled_count();
        self.members[scheduler] = Some(Membership::new(self.now, me, seed_nodes, &config, rng_seed));
        self.set_timer(scheduler);
    }

    fn set_timer(&mut self, scheduler: usize) {
        let Some(next) = self.members[scheduler].as_ref().map(Membership::next_timeout) else { return };
        if next.is_finite() {
            self.timer_generations[scheduler] += 1;
            let generation = self.timer_generations[scheduler];
            self.schedule(next.max(self.now), Event::Timer { scheduler, generation });
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Timer { scheduler, generation } => {
                if self.timer_generations[scheduler] == generation
                    && let Some(member) = &mut self.members[scheduler]
                {
                    member.handle_timeout(self.now);
                    self.execute_commands(scheduler);
                }
            }
            Event::Message { to, bytes } => {
                if let Some(member) = &mut self.members[to] {
                    member.handle_message(self.now, &bytes);
                    self.execute_commands(to);
                }
            }
            Event::Kill => {
                self.kill_random_process();
                self.schedule(self.now + KILL_INTERVAL, Event::Kill);
            }
            Event::Restart { scheduler } => self.start(scheduler),
        }
    }

    fn kill_random_process(&mut self) {
        let scheduler = self.rng.random_range(0..self.members.len());
        if let Some(member) = self.members[scheduler].take() {
            self.crashes.insert(member.me(), Crash { at: self.now, detection_count: 0 });
            self.schedule(self.now + RESTART_DELAY, Event::Restart { scheduler });
        }
    }

    fn execute_commands(&mut self, scheduler: usize) {
        let has_formed = self.now >= WARM_UP_TIME;
        while let Some(command) = self.members[scheduler].as_mut().and_then(Membership::poll_command) {
            match command {
                Command::Send { to, bytes } => {
                    if has_formed {
                        self.result.bytes += bytes.len() as u64;
                        self.result.messages += 1;
                    }
                    self.send(usize::from(to), bytes);
                }
                Command::MemberDown(process) if has_formed => self.record_down(process),
                _ => {}
            }
        }
        self.set_timer(scheduler);
    }

    /// Sends a message, unless the loss probability drops it.
    fn send(&mut self, to: usize, bytes: Vec<u8>) {
        let is_lost = self.rng.random::<f64>() < self.loss;
        let latency = self.rng.random_range(MESSAGE_LATENCY);
        if !is_lost {
            self.schedule(self.now + latency, Event::Message { to, bytes });
        }
    }

    /// Counts a report of a process as down, either as the detection of a crash or as a false positive.
    fn record_down(&mut self, process: ProcessId) {
        let running = self.members[usize::from(process.ordinal)].as_ref();
        if let Some(crash) = self.crashes.get_mut(&process) {
            let delay = self.now - crash.at;
            crash.detection_count += 1;
            if crash.detection_count == 1 {
                self.result.first_detections.push(delay);
            }
            self.result.detections.push(delay);
        } else if running.is_some_and(|member| member.me() == process) {
            self.result.false_positive_reports += 1;
            let last = self.last_false_reports.insert(process, self.now);
            let is_new = last.is_none_or(|at| at < self.now - FALSE_POSITIVE_WINDOW);
            self.result.false_positives += usize::from(is_new);
        }
    }
}
