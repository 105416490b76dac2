//! Claims that this process has discarded, which replicas may still hold a record of.
//!
//! [`Message::Discard`] is lost with the coordinator that it was sent to. A replica that becomes the coordinator under the
//! next member list would take the job over, although its client was told that it has not run. So discards are sent again
//! under each new list, until the job's deadline is over by everybody's clock.

use crate::job_record::MAX_TRANSIT_TIME;
use crate::{Failover, JobKey, Message, Micros};
use std::collections::BTreeMap;

/// A claim that its owner has discarded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DiscardedClaim {
    key: JobKey,
    /// Nobody takes the job over after that.
    expires_at: Micros,
}

/// Discarded claims by their numbers, so that the oldest come first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DiscardedClaims {
    claims: BTreeMap<u64, DiscardedClaim>,
}

impl DiscardedClaims {
    /// Remembers a claim; beyond `max_claims` the oldest is forgotten.
    fn insert(&mut self, key: &JobKey, claim_id: u64, deadline: Micros, max_claims: usize) {
        let expires_at = deadline.saturating_add(MAX_TRANSIT_TIME);
        self.claims.insert(claim_id, DiscardedClaim { key: key.clone(), expires_at });
        if self.claims.len() > max_claims {
            self.claims.pop_first();
        }
    }

    /// Forgets the claims of jobs whose deadlines are over.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.claims.retain(|_, claim| now < claim.expires_at);
    }
}

impl Failover {
    /// Tells the coordinator that the record of a claim is not needed any more.
    pub(crate) fn send_discard(&mut self, key: &JobKey, claim_id: u64, urgent: bool) {
        let replicated = self.jobs.get(key).filter(|job| job.record.requires_ack);
        if let Some(deadline) = replicated.map(|job| job.record.deadline) {
            self.discarded_claims.insert(key, claim_id, deadline, self.settings.max_records);
        }
        let term = self.term;
        if let Some(coordinator) = key.coordinator(&self.members).filter(|_| self.is_member()) {
            self.send_with(coordinator, Message::Discard { term, key: key.clone(), claim_id }, urgent);
        }
    }

    /// Under a new member list: sends the discards again, before the report is complete.
    pub(crate) fn report_all_discarded(&mut self) {
        let term = self.term;
        for (claim_id, DiscardedClaim { key, .. }) in self.discarded_claims.claims.clone() {
            if let Some(coordinator) = key.coordinator(&self.members) {
                self.send_batched(coordinator, Message::Discard { term, key, claim_id });
            }
        }
    }
}
