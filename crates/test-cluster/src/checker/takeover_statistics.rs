//! Statistics of jobs whose scheduler was lost while they were in flight.

use super::ANSWER_TOLERANCE;
use super::fault_windows::FaultWindow;
use super::observations::{Observations, Request};
use super::report::Report;
use crate::Millis;
use crate::history::RequestEnd;
use std::collections::BTreeSet;

/// Minimum time left until its deadline for a job to count as in flight at a fault. With less, it may end
/// before the other schedulers detect that its scheduler is gone.
const MIN_TIME_LEFT: Millis = 2_000.0;

/// Adds takeovers, and jobs in flight at a fault, to the report.
pub fn add(report: &mut Report, observations: &Observations) {
    let answered = jobs_answered_in_time(observations);
    let mut counted = BTreeSet::new();
    for (_, request, class) in observations.sent_requests() {
        count_takeover(report, request, class);
        let fault_at = first_process_fault(&observations.fault_windows[request.scheduler], request);
        if let Some(delay) = takeover_delay(request, fault_at) {
            report.max_takeover_delay = report.max_takeover_delay.max(delay);
        }
        let in_flight = fault_at <= request.ended_at() && fault_at + MIN_TIME_LEFT <= request.deadline;
        if in_flight && counted.insert(request.job) {
            report.in_flight_at_fault[class] += 1;
            report.answered[class] += usize::from(answered.contains(&request.job));
        }
    }
}

fn jobs_answered_in_time(observations: &Observations) -> BTreeSet<usize> {
    let in_time = |request: &&Request| {
        request.ends.iter().any(|end| {
            matches!(end.end, RequestEnd::Served(_) | RequestEnd::Failed)
                && end.at <= request.deadline + ANSWER_TOLERANCE
        })
    };
    observations.requests.values().filter(in_time).map(|request| request.job).collect()
}

fn count_takeover(report: &mut Report, request: &Request, class: usize) {
    let senders: BTreeSet<usize> = request.attempts.iter().map(|attempt| attempt.scheduler).collect();
    let others = senders.iter().filter(|&&sender| sender != request.scheduler).count();
    report.takeovers[class] += usize::from(others > 0);
    report.repeated_takeovers += usize::from(others > 1);
}

/// Time of the first fault of the process since the request was sent; infinite if there was none.
fn first_process_fault(windows: &[FaultWindow], request: &Request) -> Millis {
    let faults = windows.iter().filter(|window| window.is_process_fault() && request.sent_at <= window.from);
    faults.map(|window| window.from).fold(f64::INFINITY, f64::min)
}

/// Time from the fault until another scheduler sent an attempt; `None` if none did.
fn takeover_delay(request: &Request, fault_at: Millis) -> Option<Millis> {
    let mut attempts = request.attempts.iter();
    let taken_over =
        attempts.find(|attempt| attempt.scheduler != request.scheduler && attempt.sent_at >= fault_at)?;
    Some(taken_over.sent_at - fault_at)
}
