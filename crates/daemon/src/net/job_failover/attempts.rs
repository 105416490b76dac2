//! Attempts of the engine, each held back until the failover state machine permits it to be sent.

use super::{JobFailover, micros, to_micros};
use crate::net::backend::Attempt;
use crate::net::event_loop::Millis;
use brackenledge_engine::AttemptId;
use brackenledge_failover::JobKey;

impl JobFailover {
    /// Submits an attempt of the engine. Returns it if it may be sent now; otherwise holds it.
    pub fn submit_attempt(&mut self, now: Millis, attempt: Attempt, worker: &str) -> Option<Attempt> {
        let Attempt { id, ref request, deadlines, .. } = attempt;
        let Some(key) = self.keys.get(&id.job).filter(|_| request.reports_attempts) else {
            return Some(attempt);
        };
        let clock = micros();
        let deadline = clock + to_micros((deadlines.response_deadline - now).max(0.0));
        if self.failover.request_attempt(clock, key, id.attempt as u32, worker, deadline) {
            return Some(attempt);
        }
        self.held_attempts.insert(id, attempt);
        None
    }

    fn id_of(&self, key: &JobKey, attempt: u32) -> Option<AttemptId> {
        Some(AttemptId { job: *self.jobs.get(key)?, attempt: attempt as usize })
    }

    /// Returns a held attempt that may be sent now.
    pub fn release_attempt(&mut self, key: &JobKey, attempt: u32) -> Option<Attempt> {
        let id = self.id_of(key, attempt)?;
        self.held_attempts.remove(&id)
    }

    /// Discards a held attempt that must not be sent. Returns its id in the engine, if it was held.
    pub fn drop_attempt(&mut self, key: &JobKey, attempt: u32) -> Option<AttemptId> {
        let id = self.id_of(key, attempt)?;
        self.held_attempts.remove(&id).map(|_| id)
    }

    /// Discards an attempt that the engine cancels. Returns whether it was held here, and so was not sent.
    pub fn cancel_attempt(&mut self, id: AttemptId) -> bool {
        self.held_attempts.remove(&id).is_some()
    }

    /// Handles the end of an attempt. `never_ran`: the worker certainly did not execute it.
    pub fn attempt_ended(&mut self, id: AttemptId, never_ran: bool) {
        self.held_attempts.remove(&id);
        if let Some(key) = self.keys.get(&id.job).filter(|_| never_ran) {
            self.failover.attempt_never_ran(micros(), key, id.attempt as u32);
        }
    }
}
