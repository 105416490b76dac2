//! Jobs served and requests in flight over time, and the time until service recovers after faults.

use super::INTERVAL;
use super::observations::Observations;
use super::report::Report;
use crate::Millis;
use crate::scenario::Scenario;

/// Service counts as recovered at this fraction of its level before the first fault.
const RECOVERED_FRACTION: f64 = 0.95;

/// Jobs created in one interval.
#[derive(Clone, Copy, Default)]
struct JobCount {
    created: usize,
    /// Those of them that were served, whenever that was.
    served: usize,
}

impl JobCount {
    /// 1 if no job was created.
    fn served_fraction(self) -> f64 {
        if self.created == 0 { 1.0 } else { self.served as f64 / self.created as f64 }
    }
}

/// A run divided into intervals of [`INTERVAL`].
struct Intervals {
    count: usize,
}

impl Intervals {
    /// The interval of a time. Times before and after the run belong to the first and the last interval.
    fn index(&self, at: Millis) -> usize {
        ((at.max(0.0) / INTERVAL) as usize).min(self.count.saturating_sub(1))
    }
}

/// Adds service by zone, requests in flight and the recovery time to the report.
pub fn add(report: &mut Report, observations: &Observations, scenario: &Scenario) {
    let intervals = Intervals { count: (scenario.length / INTERVAL).ceil() as usize };
    let by_zone = jobs_by_zone(observations, scenario, &intervals);
    let fractions = |zone: &Vec<JobCount>| zone.iter().map(|count| count.served_fraction()).collect();
    report.served_by_zone = by_zone.iter().map(fractions).collect();
    report.in_flight = requests_in_flight(observations, scenario, &intervals);
    let overall: Vec<f64> =
        (0..intervals.count).map(|interval| sum_of_zones(&by_zone, interval).served_fraction()).collect();
    report.recovery_time = recovery_time(&overall, scenario, &intervals);
}

fn jobs_by_zone(
    observations: &Observations,
    scenario: &Scenario,
    intervals: &Intervals,
) -> Vec<Vec<JobCount>> {
    let mut counts = vec![vec![JobCount::default(); intervals.count]; scenario.zones.len()];
    for job in observations.jobs.values() {
        let count = &mut counts[job.zone][intervals.index(job.created_at)];
        count.created += 1;
        count.served += usize::from(job.end.is_some_and(|end| end.served));
    }
    counts
}

fn sum_of_zones(by_zone: &[Vec<JobCount>], interval: usize) -> JobCount {
    by_zone.iter().fold(JobCount::default(), |sum, zone| JobCount {
        created: sum.created + zone[interval].created,
        served: sum.served + zone[interval].served,
    })
}

fn requests_in_flight(
    observations: &Observations,
    scenario: &Scenario,
    intervals: &Intervals,
) -> Vec<Vec<usize>> {
    let mut in_flight = vec![vec![0; intervals.count]; scenario.schedulers];
    for request in observations.requests.values().filter(|request| request.was_sent()) {
        let open = intervals.index(request.sent_at)..=intervals.index(request.ended_at());
        in_flight[request.scheduler][open].iter_mut().for_each(|count| *count += 1);
    }
    in_flight
}

/// Time from the start of the last fault until service has recovered for the rest of the run; `None` if it
/// has not. It counts from the fault's start because a killed process may never return, in which case the
/// other schedulers restore service.
fn recovery_time(served: &[f64], scenario: &Scenario, intervals: &Intervals) -> Option<Millis> {
    let starts = || scenario.faults.iter().map(|fault| fault.at);
    let first = starts().fold(f64::INFINITY, f64::min);
    if first.is_infinite() {
        return Some(0.0);
    }
    let last = starts().fold(0.0, f64::max);
    let before = &served[..intervals.index(first).max(1).min(intervals.count)];
    let baseline = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let is_degraded = |&interval: &usize| served[interval] < RECOVERED_FRACTION * baseline;
    match (intervals.index(last)..intervals.count).rev().find(is_degraded) {
        None => Some(0.0),
        Some(interval) if interval + 1 < intervals.count => Some((interval + 1) as f64 * INTERVAL - last),
        Some(_) => None,
    }
}
