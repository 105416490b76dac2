//! Validation of an experiment's values.

use super::{Experiment, Fault};
use crate::error::InvalidValue;
use std::ops::RangeInclusive;

/// Maximum load during a burst, as a multiple of the experiment's load.
const MAX_LOAD_FACTOR: f64 = 100.0;

/// How large a fault is: the key and value in its table, and the maximum that is valid.
struct Magnitude {
    key: &'static str,
    value: f64,
    max: f64,
}

impl Fault {
    /// The value of the key `kind` in the file.
    fn kind(&self) -> &'static str {
        match self {
            Fault::RestartWorkers { .. } => "restart-workers",
            Fault::FailingWorkers { .. } => "failing-workers",
            Fault::KillSchedulers { .. } => "kill-schedulers",
            Fault::Burst { .. } => "burst",
        }
    }

    fn magnitude(&self) -> Magnitude {
        match *self {
            Fault::RestartWorkers { fraction, .. }
            | Fault::FailingWorkers { fraction, .. }
            | Fault::KillSchedulers { fraction, .. } => {
                Magnitude { key: "fraction", value: fraction, max: 1.0 }
            }
            Fault::Burst { load_factor, .. } => {
                Magnitude { key: "load-factor", value: load_factor, max: MAX_LOAD_FACTOR }
            }
        }
    }

    fn overlaps(&self, other: &Fault) -> bool {
        let (own, other) = (self.window(), other.window());
        own.start < other.end && other.start < own.end
    }
}

/// All invalid values: numbers of the fleet, the traffic and the network, then of the faults, then overlaps.
pub(super) fn invalid_values(experiment: &Experiment) -> Vec<InvalidValue> {
    let mut invalid = out_of_range_numbers(experiment);
    invalid.extend(out_of_range_faults(experiment));
    invalid.extend(overlapping_faults(&experiment.faults));
    invalid
}

fn check_range(key: impl Into<String>, value: f64, range: RangeInclusive<f64>) -> Option<InvalidValue> {
    let (min, max) = (*range.start(), *range.end());
    (!range.contains(&value)).then(|| InvalidValue::OutOfRange { key: key.into(), value, min, max })
}

fn out_of_range_numbers(experiment: &Experiment) -> Vec<InvalidValue> {
    let Experiment { fleet, traffic, network, .. } = experiment;
    let checks = [
        check_range("fleet.schedulers", f64::from(fleet.schedulers), 1.0..=1_000.0),
        check_range("fleet.workers", fleet.workers as f64, 1.0..=10_000.0),
        check_range("fleet.slots", fleet.slots as f64, 1.0..=64.0),
        check_range("traffic.load", traffic.load, 0.01..=10.0),
        check_range("traffic.run-ms", traffic.run_ms, 1.0..=10_000.0),
        check_range("traffic.fetch-cost", traffic.fetch_cost, 0.0..=100.0),
        check_range("traffic.keys", f64::from(traffic.keys), 1.0..=1e6),
        check_range("traffic.seconds", f64::from(traffic.seconds), 1.0..=3_600.0),
        check_range("network.latency-ms", network.latency_ms, 0.0..=1_000.0),
        check_range("network.loss", network.loss, 0.0..=1.0),
    ];
    checks.into_iter().flatten().collect()
}

fn out_of_range_faults(experiment: &Experiment) -> Vec<InvalidValue> {
    let end = f64::from(experiment.traffic.seconds);
    let mut invalid = Vec::new();
    for (index, fault) in experiment.faults.iter().enumerate() {
        let (window, magnitude) = (fault.window(), fault.magnitude());
        let name = format!("fault {} ({})", index + 1, fault.kind());
        let min_until = f64::from(window.start.saturating_add(1)).min(end);
        invalid.extend(check_range(format!("{name}: at"), f64::from(window.start), 0.0..=end - 1.0));
        invalid.extend(check_range(format!("{name}: until"), f64::from(window.end), min_until..=end));
        let key = format!("{name}: {}", magnitude.key);
        invalid.extend(check_range(key, magnitude.value, 0.0..=magnitude.max));
    }
    invalid
}

/// Two faults of the same kind must not overlap, since the end of one would also end the other.
fn overlapping_faults(faults: &[Fault]) -> Vec<InvalidValue> {
    let mut invalid = Vec::new();
    for (later, fault) in faults.iter().enumerate() {
        for (earlier, other) in faults[..later].iter().enumerate() {
            if fault.kind() == other.kind() && fault.overlaps(other) {
                let (first, second, kind) = (earlier + 1, later + 1, fault.kind());
                invalid.push(InvalidValue::OverlappingFaults { first, second, kind });
            }
        }
    }
    invalid
}
