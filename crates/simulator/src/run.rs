//! The run of an experiment: faults start and end at full seconds, and each second is counted by itself.

use crate::baselines::Baseline;
use crate::experiment::{Experiment, Fault};
use crate::fleet::{Fleet, FleetConfig, Violation, settings};
use crate::statistics::Window;
use brackenledge_policy::{Millis, Settings};

const WINDOW_LENGTH: Millis = 1_000.0;

/// What a run shows.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Its seconds in order.
    pub windows: Vec<Window>,
    /// Rules that were broken, in the order in which that was noticed.
    pub violations: Vec<Violation>,
}

/// Runs an experiment, with the schedulers' own policy or under a baseline.
pub fn run(experiment: &Experiment, baseline: Option<Baseline>) -> RunResult {
    let usual_rate = usual_arrival_rate(experiment);
    let mut fleet = new_fleet(experiment, baseline);
    fleet.arrival_rate = usual_rate;
    let mut windows = Vec::new();
    for second in 0..experiment.traffic.seconds {
        for fault in &experiment.faults {
            if fault.window().start == second {
                start_fault(&mut fleet, fault, usual_rate);
            } else if fault.window().end == second {
                end_fault(&mut fleet, fault, usual_rate);
            }
        }
        fleet.run_for(WINDOW_LENGTH);
        windows.push(Window::new(second, &fleet.take_statistics(), experiment.traffic.run_ms));
    }
    fleet.check_warming_workers();
    RunResult { windows, violations: fleet.violations().to_vec() }
}

/// Jobs a second at the experiment's load without a burst.
fn usual_arrival_rate(experiment: &Experiment) -> f64 {
    let Experiment { fleet, traffic, .. } = experiment;
    traffic.load * (fleet.workers * fleet.slots) as f64 * 1_000.0 / traffic.run_ms
}

fn new_fleet(experiment: &Experiment, baseline: Option<Baseline>) -> Fleet {
    let Experiment { fleet: size, traffic, network, seed, .. } = experiment;
    let settings = Settings { schedulers: size.schedulers, ..settings() };
    let config = FleetConfig {
        worker_count: size.workers,
        slots: size.slots,
        mean_run_time: traffic.run_ms,
        key_count: traffic.keys,
        seed: *seed,
    };
    let mut fleet = Fleet::new(settings, config);
    if let Some(baseline) = baseline {
        fleet.use_baseline(baseline);
    }
    fleet.message_loss = network.loss;
    fleet.message_latency = network.latency_ms;
    fleet.set_fetch_cost(traffic.fetch_cost);
    fleet
}

fn start_fault(fleet: &mut Fleet, fault: &Fault, usual_rate: f64) {
    let count = |total: usize, fraction: f64| (total as f64 * fraction).round() as usize;
    match *fault {
        Fault::RestartWorkers { fraction, .. } => {
            fleet.restart_workers(count(fleet.worker_count(), fraction));
        }
        Fault::FailingWorkers { fraction, .. } => {
            fleet.set_failing_workers(count(fleet.worker_count(), fraction));
        }
        Fault::KillSchedulers { fraction, .. } => {
            (0..count(fleet.scheduler_count(), fraction)).for_each(|scheduler| fleet.kill(scheduler));
        }
        Fault::Burst { load_factor, .. } => fleet.arrival_rate = usual_rate * load_factor,
    }
}

fn end_fault(fleet: &mut Fleet, fault: &Fault, usual_rate: f64) {
    match fault {
        Fault::RestartWorkers { .. } => {}
        Fault::FailingWorkers { .. } => fleet.set_failing_workers(0),
        Fault::KillSchedulers { .. } => fleet.restart_killed(),
        Fault::Burst { .. } => fleet.arrival_rate = usual_rate,
    }
}
