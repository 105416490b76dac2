//! Counts of jobs, requests and messages, and latencies of jobs.

use super::observations::Observations;
use super::report::{Latency, Report};
use super::request_outcome::{RequestOutcome, request_outcome};
use crate::Millis;
use crate::history::HistoryEvent;
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// Latencies are recorded in microseconds; longer ones count as this maximum of a minute.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of recorded latencies, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Adds these counts and latencies to the report.
pub fn add(report: &mut Report, history: &[HistoryEvent], observations: &Observations) {
    count_events(report, history);
    count_requests(report, observations);
    count_duplicate_executions(report, observations);
    measure_jobs(report, observations);
}

fn count_events(report: &mut Report, history: &[HistoryEvent]) {
    for event in history {
        match event {
            HistoryEvent::AttemptDeduplicated { .. } => report.deduplicated += 1,
            HistoryEvent::PeerMessage { bytes, .. } => {
                report.messages += 1;
                report.message_bytes += bytes;
            }
            _ => {}
        }
    }
}

fn count_requests(report: &mut Report, observations: &Observations) {
    let results = observations.results_by_job();
    for (_, request, class) in observations.sent_requests() {
        report.requests[class] += 1;
        let counter = match request_outcome(request, &results[&request.job], observations) {
            RequestOutcome::Lost => &mut report.lost,
            RequestOutcome::Late => &mut report.late,
            RequestOutcome::Rejected => &mut report.rejected,
            RequestOutcome::Failed => &mut report.failed,
            RequestOutcome::Served | RequestOutcome::Violation { .. } => continue,
        };
        counter[class] += 1;
    }
}

fn count_duplicate_executions(report: &mut Report, observations: &Observations) {
    let mut executions: HashMap<usize, usize> = HashMap::new();
    for request in observations.requests.values() {
        *executions.entry(request.job).or_default() += request.executions;
    }
    for (job, executions) in executions.into_iter().filter(|&(_, executions)| executions > 1) {
        let Some(job) = observations.jobs.get(&job) else { continue };
        report.duplicate_executions[job.class] += 1;
        report.wasted_executions[job.class] += executions - 1;
    }
}

fn measure_jobs(report: &mut Report, observations: &Observations) {
    let histogram = || Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
    let mut histograms = [histogram(), histogram(), histogram()];
    for job in observations.jobs.values() {
        report.jobs[job.class] += 1;
        let Some(end) = job.end.filter(|end| end.served) else { continue };
        report.served[job.class] += 1;
        if let Some(histogram) = &mut histograms[job.class] {
            histogram.saturating_record(((end.at - job.created_at) * 1_000.0) as u64);
        }
    }
    let to_millis = |micros: u64| -> Millis { micros as f64 / 1_000.0 };
    for (latency, histogram) in report.latency.iter_mut().zip(histograms.iter().flatten()) {
        *latency = Latency {
            median: to_millis(histogram.value_at_quantile(0.5)),
            p99: to_millis(histogram.value_at_quantile(0.99)),
            max: to_millis(histogram.max()),
        };
    }
}
