//! The log event with what was done since the start.

use super::scheduler::Scheduler;
use slog::info;

impl Scheduler<'_> {
    /// Logs the counters since the start as this event.
    pub(super) fn log_counters(&self, event: &'static str) {
        let stats = self.engine.stats();
        let jobs = stats.totals();
        let discovery = self.endpoints.counts();
        info!(self.log, "{}", event;
            "peers_first" => discovery.first_reported_by_peer,
            "told" => discovery.messages_sent,
            "calls_doubled" => discovery.second_watches,
            "calls_failed" => discovery.failed_requests,
            "calls" => discovery.requests,
            "servers" => self.endpoints.len(),
            "list" => self.endpoints.revision().unwrap_or(0),
            "owed" => self.engine.pending_jobs(),
            "gone" => stats.abandoned,
            "failed" => jobs.failed,
            "denied" => jobs.rejected,
            "served" => jobs.served);
    }
}
