//! Runs an experiment. Faults start and end at full seconds, and statistics are collected for each second.

use crate::baselines::Baseline;
use crate::experiment::{Experiment, Fault};
use crate::fleet::{Fleet, FleetConfig, Violation, settings};
use crate::statistics::Window;
use brackenledge_policy::{Millis, Settings};

const WINDOW_LENGTH: Millis = 1_000.0;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// The statistics of each second, in order.
    pub windows: Vec<Window>,
    /// The checker's rules that were broken, in the order of detection.
    pub violations: Vec<Violation>,
}

/// Runs an experiment under a baseline policy, or under the production policy if `baseline` is `None`.
pub fn run(experiment: &Experiment, baseline: Option<Baseline>) -> RunResult {
    let base_rate = base_arrival_rate(experiment);
    let mut fleet = new_fleet(experiment, baseline);
    fleet.arrival_rate = base_rate;
    let mut windows = Vec::new();
    for second in 0..experiment.traffic.seconds {
        for fault in &experiment.faults {
            if fault.window().start == second {
                start_fault(&mut fleet, fault, base_rate);
            } else if fault.window().end == second {
                end_fault(&mut fleet, fault, base_rate);
            }
        }
        fleet.run_for(WINDOW_LENGTH);
        windows.push(Window::new(second, &fleet.take_statistics(), experiment.traffic.run_ms));
    }
    fleet.check_warming_workers();
    RunResult { windows, violations: fleet.violations().to_vec() }
}

/// Jobs per second at the experiment's load, outside bursts.
fn base_arrival_rate(experiment: &Experiment) -> f64 {
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

fn start_fault(fleet: &mut Fleet, fault: &Fault, base_rate: f64) {
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
        Fault::Burst { load_factor, .. } => fleet.arrival_rate = base_rate * load_factor,
    }
}

fn end_fault(fleet: &mut Fleet, fault: &Fault, base_rate: f64) {
    match fault {
        Fault::RestartWorkers { .. } => {}
        Fault::FailingWorkers { .. } => fleet.set_failing_workers(0),
        Fault::KillSchedulers { .. } => fleet.restart_killed(),
        Fault::Burst { .. } => fleet.arrival_rate = base_rate,
    }
}
