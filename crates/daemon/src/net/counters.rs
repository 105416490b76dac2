//! The log event with the counters since startup.

use super::scheduler::Scheduler;
use slog::info;

impl Scheduler<'_> {
    /// Logs the counters since startup, with `event` as the event's name.
    pub(super) fn log_counters(&self, event: &'static str) {
        let stats = self.engine.stats();
        let jobs = stats.totals();
        let discovery = self.endpoints.counts();
        info!(self.log, "{}", event;
            "first_reported_by_peer" => discovery.first_reported_by_peer,
            "gossip_messages_sent" => discovery.messages_sent,
            "second_watches" => discovery.second_watches,
            "discovery_requests_failed" => discovery.failed_requests,
            "discovery_requests" => discovery.requests,
            "endpoints" => self.endpoints.len(),
            "revision" => self.endpoints.revision().unwrap_or(0),
            "pending_jobs" => self.engine.pending_jobs(),
            "abandoned" => stats.abandoned,
            "failed" => jobs.failed,
            "rejected" => jobs.rejected,
            "served" => jobs.served);
    }
}
