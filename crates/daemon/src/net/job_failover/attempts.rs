//! The engine's attempts, which leave once the state machine permits it.

use super::{JobFailover, micros, to_micros};
use crate::net::event_loop::Millis;
use brackenledge_engine::{DispatchId, Request, Times};
use brackenledge_failover::JobKey;
use brackenledge_policy::WorkerId;
use std::rc::Rc;

/// An attempt of the engine's.
pub struct Attempt {
    /// Its job and its number.
    pub id: DispatchId,
    /// The worker that it goes to.
    pub worker: WorkerId,
    /// What is sent.
    pub request: Rc<Request>,
    /// Its deadlines.
    pub times: Times,
}

/// An attempt that waits for acknowledgement.
pub(super) struct HeldAttempt {
    worker: WorkerId,
    request: Rc<Request>,
    times: Times,
}

impl JobFailover {
    /// Submits an attempt of the engine's; returned if it may leave now, otherwise it is held.
    pub fn submit_attempt(&mut self, now: Millis, attempt: Attempt, worker: &str) -> Option<Attempt> {
        let Attempt { id, ref request, times, .. } = attempt;
        let Some(key) = self.keys.get(&id.0).filter(|_| request.watched) else { return Some(attempt) };
        let clock = micros();
        let deadline = clock + to_micros((times.until - now).max(0.0));
        if self.failover.request_attempt(clock, key, id.1 as u32, worker, deadline) {
            return Some(attempt);
        }
        self.held_attempts
            .insert(id, HeldAttempt { worker: attempt.worker, request: attempt.request, times });
        None
    }

    fn id_of(&self, key: &JobKey, attempt: u32) -> Option<DispatchId> {
        Some((*self.jobs.get(key)?, attempt as usize))
    }

    /// A held attempt may leave now.
    pub fn release_attempt(&mut self, key: &JobKey, attempt: u32) -> Option<Attempt> {
        let id = self.id_of(key, attempt)?;
        let HeldAttempt { worker, request, times } = self.held_attempts.remove(&id)?;
        Some(Attempt { id, worker, request, times })
    }

    /// A held attempt will never leave; its number in the engine, if it was held.
    pub fn drop_attempt(&mut self, key: &JobKey, attempt: u32) -> Option<DispatchId> {
        let id = self.id_of(key, attempt)?;
        self.held_attempts.remove(&id).map(|_| id)
    }

    /// The engine cancels an attempt; whether it was held here.
    pub fn cancel_attempt(&mut self, id: DispatchId) -> bool {
        self.held_attempts.remove(&id).is_some()
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, id: DispatchId, never_ran: bool) {
        self.held_attempts.remove(&id);
        if let Some(key) = self.keys.get(&id.0).filter(|_| never_ran) {
            self.failover.attempt_never_ran(micros(), key, id.1 as u32);
        }
    }
}
