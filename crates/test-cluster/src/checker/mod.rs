//! Checks a history against the rules and computes statistics of it, without I/O or a clock.
//!
//! The rules in [`crate::rules`] are those that each scheduler must keep by itself. What only several
//! schedulers together could guarantee is no violation and is counted in the statistics instead: requests
//! without an answer because their scheduler was killed, and jobs executed twice because their client sent a
//! second request to another scheduler.

mod availability;
mod drains;
mod exemption;
mod fault_windows;
mod observations;
mod report;
mod request_outcome;
mod role_statistics;
mod rules;
mod statistics;
mod takeover_statistics;
mod verdict;

pub use report::{ByClass, Latency, Report, RoleHolder, Violation};
pub use verdict::Verdict;

use crate::Millis;
use crate::history::HistoryEvent;
use crate::scenario::Scenario;
use observations::Observations;

/// How long after its deadline an answer still counts as in time. The platform allows 8 ms and 50 ms; the
/// rest is for a machine that runs all processes at once.
pub const ANSWER_TOLERANCE: Millis = 300.0;
/// Time after a kill within which everything that the killed process wrote to its connections has been read.
pub const KILL_TOLERANCE: Millis = 200.0;
/// Length of the intervals over which availability is measured.
pub const INTERVAL: Millis = 500.0;

/// Checks a history and computes its statistics.
pub fn check(history: &[HistoryEvent], scenario: &Scenario) -> Report {
    let observations = Observations::new(history, scenario.schedulers);
    let mut report = Report { violations: violations(history, &observations, scenario), ..Report::default() };
    statistics::add(&mut report, history, &observations);
    role_statistics::add(&mut report, history);
    takeover_statistics::add(&mut report, &observations);
    availability::add(&mut report, &observations, scenario);
    report
}

/// Violations of all rules, in order of time.
fn violations(history: &[HistoryEvent], observations: &Observations, scenario: &Scenario) -> Vec<Violation> {
    let mut violations = rules::answers(observations);
    violations.extend(rules::retries(observations, scenario));
    violations.extend(drains::drains(history, observations));
    violations.extend(rules::slow_start(history, scenario));
    violations.extend(rules::messages(history));
    violations.extend(rules::fencing(history));
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}
