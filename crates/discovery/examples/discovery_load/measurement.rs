//! Measures in one run the load on discovery and how long schedulers are unaware of drains.

use crate::simulated_discovery::{Fault, Millis, Node, World, endpoint};
use brackenledge_policy::Readiness;

/// The state of the connections to discovery while the load is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Conditions {
    Calm,
    /// In each second a tenth of the connections begins to break updates off or falls silent, and a tenth
    /// recovers.
    Faults,
    Outage,
}

/// The results of one run.
pub struct Load {
    /// Requests by all schedulers together.
    pub requests_per_second: f64,
    pub max_requests_in_one_second: u64,
    /// How long a scheduler took a drained endpoint for ready in the 5 s after its drain, in milliseconds,
    /// averaged over schedulers and drains. `None` if nothing drained.
    pub mean_unaware: Option<Millis>,
}

const SEED: u64 = 11;
const WARM_UP_TIME: Millis = 30_000.0;
const SECONDS: u32 = 60;
const MILLIS_PER_SECOND: Millis = 1_000.0;
const ENDPOINT_COUNT: usize = 12;
/// The endpoint that alternately drains and becomes ready.
pub const CHANGING_ENDPOINT: &str = "s3";
/// Interval between changes of the list. Every other change is a drain.
const SECONDS_BETWEEN_CHANGES: u32 = 5;
/// How long after a drain the schedulers that are unaware of it are counted.
const OBSERVATION_TIME: Millis = 5_000.0;
const OBSERVATION_STEP: Millis = 10.0;
/// In each second with faults, one of this many connections becomes faulty and one recovers.
const CONNECTIONS_PER_FAULT: usize = 10;

struct Drain {
    at: Millis,
    /// The first revision of the list that contains the drain.
    revision: u64,
}

/// Accumulates the time during which schedulers are unaware of drains.
#[derive(Default)]
struct DrainObservation {
    drain_count: u32,
    last_drain: Option<Drain>,
    /// Total over all drains and schedulers.
    unaware_time: Millis,
}

impl DrainObservation {
    /// Changes the list by a drain or by the end of one.
    fn change_list<N: Node>(&mut self, world: &mut World<N>, is_drain: bool) {
        let readiness = if is_drain { Readiness::Draining } else { Readiness::Ready };
        world.change(endpoint(CHANGING_ENDPOINT, readiness));
        self.last_drain = is_drain.then_some(Drain { at: world.now, revision: world.revision });
        self.drain_count += u32::from(is_drain);
    }

    /// Advances the world in small steps while the last drain is observed, and adds up the unaware time.
    fn observe<N: Node>(
        &mut self,
        world: &mut World<N>,
        until: Millis,
        is_unaware: impl Fn(&N, u64) -> bool,
    ) {
        let Some(drain) = &self.last_drain else { return };
        while world.now < until.min(drain.at + OBSERVATION_TIME) - OBSERVATION_STEP {
            world.run_until(world.now + OBSERVATION_STEP);
            let unaware_count = world.nodes.iter().filter(|node| is_unaware(node, drain.revision)).count();
            self.unaware_time += OBSERVATION_STEP * unaware_count as f64;
        }
    }

    fn mean_unaware(&self, scheduler_count: usize) -> Option<Millis> {
        let observations = f64::from(self.drain_count) * scheduler_count as f64;
        (self.drain_count > 0).then(|| self.unaware_time / observations)
    }
}

/// Measures the load. `is_unaware` tells whether a scheduler does not yet know of the drain that this
/// revision of the list introduced.
pub fn measure<N: Node>(nodes: Vec<N>, conditions: Conditions, is_unaware: impl Fn(&N, u64) -> bool) -> Load {
    let scheduler_count = nodes.len();
    let mut world = warmed_up_world(nodes);
    let requests_before = world.requests_opened;
    let mut max_requests_in_one_second = 0;
    let mut drains = DrainObservation::default();
    if conditions == Conditions::Outage {
        world.set_down(true);
    }
    for second in 0..SECONDS {
        let requests_so_far = world.requests_opened;
        if conditions == Conditions::Faults {
            break_connections(&mut world);
        }
        if second % SECONDS_BETWEEN_CHANGES == 0 && conditions != Conditions::Outage {
            drains.change_list(&mut world, second % (2 * SECONDS_BETWEEN_CHANGES) == 0);
        }
        let second_ends = WARM_UP_TIME + MILLIS_PER_SECOND * f64::from(second + 1);
        drains.observe(&mut world, second_ends, &is_unaware);
        world.run_until(second_ends);
        max_requests_in_one_second = max_requests_in_one_second.max(world.requests_opened - requests_so_far);
    }
    Load {
        requests_per_second: (world.requests_opened - requests_before) as f64 / f64::from(SECONDS),
        max_requests_in_one_second,
        mean_unaware: drains.mean_unaware(scheduler_count),
    }
}

fn warmed_up_world<N: Node>(nodes: Vec<N>) -> World<N> {
    let mut world = World::new(nodes, SEED);
    (0..ENDPOINT_COUNT).for_each(|n| world.change(endpoint(&format!("s{n}"), Readiness::Ready)));
    world.start();
    world.run_until(WARM_UP_TIME);
    world
}

fn break_connections<N: Node>(world: &mut World<N>) {
    let count = world.nodes.len();
    for _ in 0..count.div_ceil(CONNECTIONS_PER_FAULT) {
        let (broken, recovered) = (world.rng.usize(..count), world.rng.usize(..count));
        let faults = [Fault::EndMidUpdate, Fault::StallMidUpdate, Fault::BlackHole];
        let fault = faults[world.rng.usize(..faults.len())];
        world.set_fault(broken, fault);
        world.set_fault(recovered, Fault::None);
    }
}
