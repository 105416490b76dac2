//! The engine's attempts, which leave once the state machine permits it.

use super::{JobFailover, micros, to_micros};
use crate::net::backend::Attempt;
use crate::net::event_loop::Millis;
use brackenledge_engine::AttemptId;
use brackenledge_failover::JobKey;

impl JobFailover {
    /// Submits an attempt of the engine's; returned if it may leave now, otherwise it is held.
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

    /// A held attempt may leave now.
    pub fn release_attempt(&mut self, key: &JobKey, attempt: u32) -> Option<Attempt> {
        let id = self.id_of(key, attempt)?;
        self.held_attempts.remove(&id)
    }

    /// A held attempt will never leave; its number in the engine, if it was held.
    pub fn drop_attempt(&mut self, key: &JobKey, attempt: u32) -> Option<AttemptId> {
        let id = self.id_of(key, attempt)?;
        self.held_attempts.remove(&id).map(|_| id)
    }

    /// The engine cancels an attempt; whether it was held here.
    pub fn cancel_attempt(&mut self, id: AttemptId) -> bool {
        self.held_attempts.remove(&id).is_some()
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, id: AttemptId, never_ran: bool) {
        self.held_attempts.remove(&id);
        if let Some(key) = self.keys.get(&id.job).filter(|_| never_ran) {
            self.failover.attempt_never_ran(micros(), key, id.attempt as u32);
        }
    }
}
