//! Counters and gauges of failover for the admin endpoint, and its log events.

use super::{JobFailover, micros};
use brackenledge_failover::Event;
use slog::{Logger, info};

impl JobFailover {
    /// Lines of the form `handover.NAME=NUMBER`: job records by class and state, then totals. Counters start
    /// from zero when the process starts.
    pub fn figures(&self, classes: &[String]) -> Vec<String> {
        let mut lines = Vec::new();
        for (class, name) in classes.iter().enumerate().filter(|(at, _)| self.class_options[*at].is_some()) {
            let records = self.failover.record_counts(class as u16);
            lines.push(format!("handover.held.{name}={}", records.owned));
            lines.push(format!("handover.waited_for.{name}={}", records.awaited));
            lines.push(format!("handover.kept_open.{name}={}", records.unfinished_replicas));
            lines.push(format!("handover.kept_ended.{name}={}", records.finished_replicas));
        }
        lines.extend(self.totals().into_iter().map(|(name, count)| format!("handover.{name}={count}")));
        lines
    }

    fn totals(&self) -> [(&'static str, u64); 13] {
        let counters = self.failover.counters();
        [
            ("settled", u64::from(self.failover.is_settled(micros()))),
            ("bytes", self.failover.replica_bytes() as u64),
            ("bytes_unsaid", self.sessions.unacknowledged_bytes() as u64),
            ("adopted", counters.taken_over),
            ("adopted_at_risk", counters.taken_over_may_have_run),
            ("joined", counters.attached),
            ("from_record", counters.answered_from_record),
            ("refused", counters.rejected),
            ("uncovered", counters.unreplicated),
            ("lost", counters.ownership_lost),
            ("yielded", counters.transferred),
            ("stale", counters.stale_messages),
            ("nonsense", self.protocol_errors),
        ]
    }
}

/// Logs an event of the failover state machine.
pub fn log_event(log: &Logger, event: Event) {
    match event {
        Event::ExcludedFromMembers { term, lost_jobs } => {
            info!(log, "failover_excluded_from_members"; "term" => %term, "lost_jobs" => lost_jobs);
        }
        Event::JobsTakenOver { term, jobs, may_have_run } => {
            info!(log, "failover_jobs_taken_over"; "term" => %term, "jobs" => jobs,
                "may_have_run" => may_have_run);
        }
    }
}
