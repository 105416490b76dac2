//! Membership in clusters of any size on a virtual clock: how soon a crash is noticed, how often a running process is
//! declared down, and what that costs.
//!
//! A run is a function of its [`MembershipScenario`], but for the processor time. Each scheduler runs the membership crate
//! unchanged. One process is killed every [`KILL_INTERVAL`] and back after half of it.

use crate::event_queue::{EventQueue, to_micros};
use brackenledge_membership::{Command, Membership, Millis, ProcessId, SwimConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Instant;

/// How long a message is on its way.
const MESSAGE_LATENCY: Range<Millis> = 1.0..20.0;
/// One process is killed this often.
pub const KILL_INTERVAL: Millis = 30_000.0;
/// A killed process starts again after this time.
const RESTART_DELAY: Millis = KILL_INTERVAL / 2.0;
/// Nothing is counted before this time, while the cluster forms.
const WARM_UP_TIME: Millis = 30_000.0;
/// A process that is declared down by several others within this time counts as one false death.
const FALSE_DEATH_WINDOW: Millis = 10_000.0;
const MILLIS_PER_MINUTE: Millis = 60_000.0;
const MILLIS_PER_SECOND: Millis = 1_000.0;

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct MembershipScenario {
    /// Schedulers, from 2 on.
    pub scheduler_count: usize,
    /// Part of the messages that is lost.
    pub loss: f64,
    /// Length on the virtual clock, after the time in which the cluster forms.
    pub minutes: f64,
    /// For all that is random.
    pub seed: u64,
}

/// What a run shows.
#[derive(Clone, Debug, Default)]
pub struct MembershipResult {
    /// Times from a crash until the first other process noticed it.
    pub first_detections: Vec<Millis>,
    /// Times from a crash until each other process noticed it.
    pub detections: Vec<Millis>,
    /// Running processes that any other declared down, each counted once in 10 s.
    pub false_deaths: usize,
    /// Declarations of a running process as down, by each of the others.
    pub false_death_views: usize,
    /// Bytes of all messages sent.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Processor time of one scheduler, as a part of one core.
    pub cpu_per_scheduler: f64,
}

impl MembershipScenario {
    /// Runs the scenario.
    pub fn run(&self) -> MembershipResult {
        let mut world = World::new(self);
        (0..self.scheduler_count).for_each(|scheduler| world.start(scheduler));
        world.schedule(WARM_UP_TIME, Event::Kill);
        let started_at = Instant::now();
        let end = WARM_UP_TIME + self.minutes * MILLIS_PER_MINUTE;
        while let Some((at, event)) = world.events.pop_due(end) {
            world.now = at;
            world.handle_event(event);
        }
        let cpu_per_second = started_at.elapsed().as_secs_f64() / (end / MILLIS_PER_SECOND);
        world.result.cpu_per_scheduler = cpu_per_second / self.scheduler_count as f64;
        world.result
    }
}

/// The value that this part of the values is not above; not a number if there are none.
pub fn quantile(values: &mut [Millis], fraction: f64) -> Millis {
    values.sort_by(f64::total_cmp);
    let index = (fraction * values.len() as f64) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

enum Event {
    /// A scheduler's timer; only the newest that it set counts.
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

/// A process that was killed.
struct Crash {
    at: Millis,
    /// Other processes that have noticed it.
    detection_count: usize,
}

struct World {
    now: Millis,
    rng: ChaCha8Rng,
    loss: f64,
    events: EventQueue<Event>,
    /// The running process of each scheduler.
    members: Vec<Option<Membership>>,
    timer_generations: Vec<u64>,
    crashes: BTreeMap<ProcessId, Crash>,
    /// When a running process was last declared down.
    false_deaths: BTreeMap<ProcessId, Millis>,
    result: MembershipResult,
}

impl World {
    fn new(scenario: &MembershipScenario) -> World {
        World {
            now: 0.0,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            loss: scenario.loss,
            events: EventQueue::new(),
            members: (0..scenario.scheduler_count).map(|_| None).collect(),
            timer_generations: vec![0; scenario.scheduler_count],
            crashes: BTreeMap::new(),
            false_deaths: BTreeMap::new(),
            result: MembershipResult::default(),
        }
    }

    /// One microsecond late: a timer that came a rounding error early would be set again for ever.
    fn schedule(&mut self, at: Millis, event: Event) {
        self.events.schedule(to_micros(at) + 1, event);
    }

    fn start(&mut self, scheduler: usize) {
        let scheduler_count = self.members.len();
        let seeds =
            (0..scheduler_count).filter(|&other| other != scheduler).map(|other| other as u16).collect();
        let me = ProcessId { ordinal: scheduler as u16, incarnation: 1 + self.now as u64 };
        let config = SwimConfig::for_cluster_size(scheduler_count);
        let rng_seed = self.events.scheduled_count();
        self.members[scheduler] = Some(Membership::new(self.now, me, seeds, &config, rng_seed));
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
                self.kill_any();
                self.schedule(self.now + KILL_INTERVAL, Event::Kill);
            }
            Event::Restart { scheduler } => self.start(scheduler),
        }
    }

    fn kill_any(&mut self) {
        let scheduler = self.rng.random_range(0..self.members.len());
        if let Some(member) = self.members[scheduler].take() {
            self.crashes.insert(member.me(), Crash { at: self.now, detection_count: 0 });
            self.schedule(self.now + RESTART_DELAY, Event::Restart { scheduler });
        }
    }

    fn execute_commands(&mut self, scheduler: usize) {
        let is_counted = self.now >= WARM_UP_TIME;
        while let Some(command) = self.members[scheduler].as_mut().and_then(Membership::poll_command) {
            match command {
                Command::Send { to, bytes } => {
                    if is_counted {
                        self.result.bytes += bytes.len() as u64;
                        self.result.messages += 1;
                    }
                    self.send(usize::from(to), bytes);
                }
                Command::MemberDown(process) if is_counted => self.count_down(process),
                _ => {}
            }
        }
        self.set_timer(scheduler);
    }

    /// Sends a message, or loses it.
    fn send(&mut self, to: usize, bytes: Vec<u8>) {
        let is_lost = self.rng.random::<f64>() < self.loss;
        let latency = self.rng.random_range(MESSAGE_LATENCY);
        if !is_lost {
            self.schedule(self.now + latency, Event::Message { to, bytes });
        }
    }

    /// Counts a declaration of a process as down: the detection of a crash, or a false death.
    fn count_down(&mut self, process: ProcessId) {
        let running = self.members[usize::from(process.ordinal)].as_ref();
        if let Some(crash) = self.crashes.get_mut(&process) {
            let delay = self.now - crash.at;
            crash.detection_count += 1;
            if crash.detection_count == 1 {
                self.result.first_detections.push(delay);
            }
            self.result.detections.push(delay);
        } else if running.is_some_and(|member| member.me() == process) {
            self.result.false_death_views += 1;
            let last = self.false_deaths.insert(process, self.now);
            let is_new = last.is_none_or(|at| at < self.now - FALSE_DEATH_WINDOW);
            self.result.false_deaths += usize::from(is_new);
        }
    }
}
