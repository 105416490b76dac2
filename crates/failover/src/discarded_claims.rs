//! Claims that this process has discarded but of which replicas may still hold a record.
//!
//! If a coordinator is lost, so is a [`Message::Discard`] that was sent to it. A replica that becomes the
//! coordinator under the next member list would then take the job over, although its client was told that it
//! had not run. Discards are therefore sent again under each new list until the job's deadline has passed by
//! every member's clock.

use crate::job_record::MAX_TRANSIT_TIME;
use crate::{Failover, JobKey, Message, Micros};
use std::collections::BTreeMap;

/// A claim that its owner has discarded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DiscardedClaim {
    key: JobKey,
    /// No process takes the job over after this time.
    expires_at: Micros,
}

/// Discarded claims by claim number, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DiscardedClaims {
    claims: BTreeMap<u64, DiscardedClaim>,
}

impl DiscardedClaims {
    /// Adds a claim; if there are more than `max_claims`, the oldest is removed.
    fn insert(&mut self, key: &JobKey, claim_id: u64, deadline: Micros, max_claims: usize) {
        let expires_at = deadline.saturating_add(MAX_TRANSIT_TIME);
        self.claims.insert(claim_id, DiscardedClaim { key: key.clone(), expires_at });
        if self.claims.len() > max_claims {
            self.claims.pop_first();
        }
    }

    /// Removes the claims that have expired.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.claims.retain(|_, claim| now < claim.expires_at);
    }
}

impl Failover {
    /// Tells the coordinator that the record of a claim is no longer needed. If the job's class forbids some
    /// repeats, stores the claim, so that the discard is sent again under later member lists.
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

    /// Sends the discards again under a new member list; called before `ReportComplete` is sent.
    pub(crate) fn report_all_discarded(&mut self) {
        let term = self.term;
        for (claim_id, DiscardedClaim { key, .. }) in self.discarded_claims.claims.clone() {
            if let Some(coordinator) = key.coordinator(&self.members) {
                self.send_batched(coordinator, Message::Discard { term, key, claim_id });
            }
        }
    }
}
