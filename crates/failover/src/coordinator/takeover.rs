//! Handles the reports that members send under a new member list, and takes over jobs whose owners are gone.

use super::{DeferredClaim, ReportedJob};
use crate::job_key::JobKey;
use crate::job_record::{JobOutcome, RecordSnapshot};
use crate::{Event, Failover, Message, Micros, ProcessId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What the coordinator does with a record once the reports of all members are complete.
enum Resolution {
    /// Keep it and replicate it under the new member list.
    Keep,
    /// Take the job over: the owner is gone, or it is a member but has not reported the job, which may have
    /// run.
    TakeOver,
    /// As for `TakeOver`, but the deadline has passed, the class forbids some repeats and the job may have
    /// run: record that it failed, so that a late submission does not run it again.
    Fail,
    /// Drop it: the owner is gone and the deadline has passed, so no client waits for the job, or the owner
    /// is a member and no longer has the job.
    Drop,
}

impl Failover {
    pub(crate) fn handle_report_owned(&mut self, now: Micros, from: ProcessId, snapshot: RecordSnapshot) {
        if !self.is_coordinator(&snapshot.key) {
            self.counters.stale_messages += 1;
            return;
        }
        let (key, record) = snapshot.into_record(now);
        let claim_id = record.claim_id;
        self.store_if_newer(now, &key, record);
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.owner_reported = true;
        }
        self.reported_jobs.push(ReportedJob { owner: from, key, claim_id });
    }

    pub(crate) fn handle_report_orphaned(&mut self, now: Micros, snapshot: RecordSnapshot) {
        if !self.is_coordinator(&snapshot.key) {
            self.counters.stale_messages += 1;
            return;
        }
        let (key, record) = snapshot.into_record(now);
        self.store_if_newer(now, &key, record);
    }

    /// Called once the reports of all members are complete: this process now holds every record of the keys
    /// that it coordinates. Takes over the jobs without an owner, then decides the deferred claims.
    pub(crate) fn handle_all_reported(&mut self, now: Micros) {
        self.revoke_superseded();
        let reclaimed = self.reclaimed_jobs();
        let coordinated = self.replicas.keys().filter(|key| self.is_coordinator(key));
        let keys: Vec<JobKey> = coordinated.filter(|key| !reclaimed.contains(key)).cloned().collect();
        let (mut jobs, mut may_have_run) = (0, 0);
        for key in keys {
            let Some(resolution) = self.resolution(now, &key) else { continue };
            if matches!(resolution, Resolution::TakeOver) {
                jobs += 1;
                let replica = self.replicas.get(&key);
                may_have_run += usize::from(replica.is_some_and(|replica| replica.record.may_have_run()));
            }
            self.resolve(now, &key, resolution);
        }
        if jobs > 0 {
            self.emit(Event::JobsTakenOver { term: self.term, jobs, may_have_run });
        }
        for claim in std::mem::take(&mut self.deferred_claims) {
            self.decide_claim(now, claim.claimant, claim.record);
        }
    }

    /// Returns the jobs that their owners claim again under the same claim number, because the grant has not
    /// reached them. No attempt has been sent under such a claim, so these jobs are decided by their
    /// claims, not by their records.
    fn reclaimed_jobs(&self) -> BTreeSet<JobKey> {
        let reclaims = |claim: &&DeferredClaim| {
            let replica = self.replicas.get(&claim.record.key);
            let unfinished = replica.filter(|replica| replica.record.outcome.is_none());
            unfinished.is_some_and(|replica| replica.is_owned_by(claim.claimant, claim.record.claim_id))
        };
        self.deferred_claims.iter().filter(reclaims).map(|claim| claim.record.key.clone()).collect()
    }

    /// Tells members which of the jobs that they reported have a newer owner or claim.
    fn revoke_superseded(&mut self) {
        let term = self.term;
        for ReportedJob { owner, key, claim_id } in std::mem::take(&mut self.reported_jobs) {
            if !self.replicas.get(&key).is_some_and(|replica| replica.is_owned_by(owner, claim_id)) {
                self.send(owner, Message::OwnershipRevoked { term, key, claim_id });
            }
        }
    }

    fn resolution(&self, now: Micros, key: &JobKey) -> Option<Resolution> {
        let replica = self.replicas.get(key)?;
        let record = &replica.record;
        // An owner that was excluded and is a member again no longer knows which attempts it had sent.
        let unreported_by_owner = !replica.owner_reported && record.may_have_run();
        let owner_gone = !self.is_listed(record.owner) || unreported_by_owner;
        let past_deadline = now + self.settings.deadline_margin >= record.deadline;
        Some(if record.outcome.is_some() {
            Resolution::Keep
        } else if owner_gone && past_deadline {
            match record.requires_ack && record.may_have_run() {
                true => Resolution::Fail,
                false => Resolution::Drop,
            }
        } else if owner_gone {
            Resolution::TakeOver
        } else if replica.owner_reported {
            Resolution::Keep
        } else {
            Resolution::Drop
        })
    }

    fn resolve(&mut self, now: Micros, key: &JobKey, resolution: Resolution) {
        match resolution {
            Resolution::Keep => self.ensure_replicated(now, key),
            Resolution::TakeOver => self.take_over(now, key),
            Resolution::Fail => {
                if let Some(replica) = self.replicas.get_mut(key) {
                    replica.record.version += 1;
                    replica.record.outcome = Some(JobOutcome::Failed);
                    replica.record.payload = Arc::from([]);
                }
                self.ensure_replicated(now, key);
            }
            Resolution::Drop => {
                self.drop_replica(key);
            }
        }
    }

    pub(crate) fn handle_transfer_ownership(
        &mut self,
        now: Micros,
        from: ProcessId,
        key: JobKey,
        claim_id: u64,
    ) {
        if self.is_coordinator(&key)
            && self.check_owner(from, &key, claim_id)
            && self.replicas.get(&key).is_some_and(|replica| replica.record.outcome.is_none())
        {
            self.take_over(now, &key);
        }
    }

    /// Makes this process, the coordinator, the owner of the job. The job starts once its replicas have
    /// acknowledged the new record.
    fn take_over(&mut self, now: Micros, key: &JobKey) {
        let ownership_epoch = self.next_ownership_epoch();
        let Some(replica) = self.replicas.get_mut(key) else { return };
        self.last_claim_id += 1;
        replica.record.owner = self.local;
        replica.record.ownership_epoch = ownership_epoch;
        replica.record.claim_id = self.last_claim_id;
        replica.record.version += 1;
        replica.acked_versions.clear();
        replica.confirmed_version = None;
        replica.grant_pending = false;
        replica.owner_reported = true;
        let record = replica.record.clone();
        self.become_owner(now, key, record);
        self.ensure_replicated(now, key);
    }
}
