//! The verdict on a run: its report compared with the expectations in the scenario file.

use super::Report;
use crate::scenario::Scenario;
use serde::Serialize;
use std::collections::BTreeSet;

/// The result of comparing a report with the expectations in the scenario file.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Expectations that are not met, a line each. The run has passed if there are none.
    pub failures: Vec<String>,
    /// Violated rules whose violation the scenario file expects.
    pub expected_violations: BTreeSet<&'static str>,
}

impl Verdict {
    /// Whether all expectations are met.
    pub fn passed(&self) -> bool {
        self.failures.is_empty()
    }

    fn require(&mut self, holds: bool, failure: String) {
        if !holds {
            self.failures.push(failure);
        }
    }
}

impl Report {
    /// Compares the report with the scenario's expectations.
    pub fn verdict(&self, scenario: &Scenario) -> Verdict {
        let mut verdict = Verdict::default();
        self.check_violations(scenario, &mut verdict);
        self.check_service(scenario, &mut verdict);
        self.check_failover(scenario, &mut verdict);
        verdict
    }

    fn check_violations(&self, scenario: &Scenario, verdict: &mut Verdict) {
        for violation in &self.violations {
            if scenario.expect.violations.contains(&violation.rule) {
                verdict.expected_violations.insert(violation.rule);
            } else {
                let (rule, description) = (violation.rule, &violation.description);
                verdict.failures.push(format!("rule {rule}: at {:.0} ms, {description}", violation.at));
            }
        }
    }

    fn check_service(&self, scenario: &Scenario, verdict: &mut Verdict) {
        let expect = &scenario.expect;
        let (duplicates, lost) = (self.harmful_duplicates(), Report::sum(&self.lost));
        if let Some(max) = expect.max_duplicate_executions {
            let failure = format!(
                "max-duplicate-executions: {duplicates} jobs ran more than once against their class, \
                 expected at most {max}"
            );
            verdict.require(duplicates <= max, failure);
        }
        if let Some(max) = expect.max_lost {
            verdict.require(
                lost <= max,
                format!("max-lost: {lost} requests had no answer, expected at most {max}"),
            );
        }
        if let Some(min) = expect.min_served {
            let served = self.served_fraction();
            let failure = format!("min-served: {served:.3} of the jobs were served, expected at least {min}");
            verdict.require(served >= min, failure);
        }
        if let Some(max) = expect.max_recovery {
            let recovery = self.recovery_time.unwrap_or(f64::INFINITY);
            verdict
                .require(recovery <= max, format!("max-recovery-ms: {recovery:.0}, expected at most {max}"));
        }
    }

    fn check_failover(&self, scenario: &Scenario, verdict: &mut Verdict) {
        let expect = &scenario.expect;
        if let Some(max) = expect.max_vacancy {
            let vacancy = self.max_vacancy.unwrap_or(f64::INFINITY);
            let was_announced = !self.role_holders.is_empty();
            verdict.require(was_announced, "max-vacancy-ms: no lease holder was ever announced".into());
            verdict.require(vacancy <= max, format!("max-vacancy-ms: {vacancy:.0}, expected at most {max}"));
        }
        if let Some(min) = expect.min_takeovers {
            let takeovers = Report::sum(&self.takeovers);
            let failure = format!("min-takeovers: {takeovers} jobs were taken over, expected at least {min}");
            verdict.require(takeovers >= min, failure);
        }
        if let Some(min) = expect.min_answered {
            let in_flight = Report::sum(&self.in_flight_at_fault);
            let answered = Report::sum(&self.answered);
            let fraction = answered as f64 / in_flight.max(1) as f64;
            let failure = format!(
                "min-answered: {answered} of {in_flight} jobs in flight at a fault were answered, \
                 expected a fraction of at least {min}"
            );
            verdict.require(in_flight > 0 && fraction >= min, failure);
        }
    }
}
