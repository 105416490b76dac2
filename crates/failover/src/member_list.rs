//! Member lists, member leases, and the reports that members send under a new list.

use crate::client_job::ClaimState;
use crate::command::Event;
use crate::job_key::JobKey;
use crate::replica::ReplicaRecord;
use crate::{Failover, Members, Message, Micros, ProcessId, Term};

impl Failover {
    /// The term of the member list in force.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether the reports of all members are complete and the local member lease is valid, so that jobs can
    /// be claimed and replicated.
    pub fn is_settled(&self, now: Micros) -> bool {
        self.all_reported && self.holds_lease(now)
    }

    /// Applies a member list, unless its term is not newer than that of the list in force.
    pub fn apply_member_list(&mut self, now: Micros, term: Term, members: &Members) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.members = members.clone();
        self.reset_for_term();
        if self.is_member() {
            self.report_all_discarded();
            self.report_all_owned(now);
            self.report_all_orphaned(now);
            for member in members.iter() {
                self.send(member, Message::ReportComplete { term });
            }
        } else {
            self.handle_exclusion();
        }
        for deferred in std::mem::take(&mut self.deferred_messages) {
            self.receive(now, deferred.from, deferred.message);
        }
        self.deliver_loopback(now);
    }

    /// Discards the state that belongs to the previous member list.
    fn reset_for_term(&mut self) {
        self.reported.clear();
        self.all_reported = false;
        self.grant_count = 0;
        self.deferred_claims.clear();
        self.reported_jobs.clear();
        self.loopback.clear();
        self.awaiting_replicas.clear();
        self.replicas.values_mut().for_each(ReplicaRecord::reset_for_term);
    }

    /// Continues under a new incarnation, which is not a member yet. The jobs that the old incarnation owned
    /// are taken over by others.
    pub fn restart_as(&mut self, local: ProcessId) {
        self.members.clear();
        self.handle_exclusion();
        self.local = local;
        self.jobs.values_mut().for_each(|job| job.record.owner = local);
        self.replicas.values_mut().for_each(ReplicaRecord::reset_for_term);
        self.term = Term::default();
        self.all_reported = false;
        self.lease_expiry = 0;
        self.reported.clear();
        self.awaiting_replicas.clear();
        self.deferred_messages.clear();
        self.lagging_peers.clear();
    }

    /// Sets when the local member lease expires, by the caller's clock.
    pub fn set_member_lease(&mut self, now: Micros, expiry: Micros) {
        self.lease_expiry = expiry;
        self.latest_lease_expiry = self.latest_lease_expiry.max(expiry);
        if self.holds_lease(now) {
            self.release_all_acknowledged();
        }
        self.deliver_loopback(now);
    }

    /// Whether the local member lease is valid: if so, no process can have taken over the jobs owned here.
    pub(crate) fn holds_lease(&self, now: Micros) -> bool {
        self.is_member() && now < self.lease_expiry
    }

    /// Whether the local member lease has expired after `since` and is not valid now. If so, a claim made at
    /// `since` may have been granted, and another process may have taken the job over, without this process
    /// having received a message about it.
    pub(crate) fn lease_lapsed_since(&self, now: Micros, since: Micros) -> bool {
        self.latest_lease_expiry > since && !self.holds_lease(now)
    }

    /// Whether this process is on the member list.
    pub(crate) fn is_member(&self) -> bool {
        self.is_listed(self.local)
    }

    /// Whether a process is on the member list.
    pub(crate) fn is_listed(&self, process: ProcessId) -> bool {
        self.members.contains(process)
    }

    /// Gives up ownership of all jobs: this process is no longer on the member list, and others take its jobs
    /// over.
    fn handle_exclusion(&mut self) {
        let owned = self.jobs.iter().filter(|(_, job)| job.state == ClaimState::Owned);
        let keys: Vec<JobKey> = owned.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.emit(Event::ExcludedFromMembers { term: self.term, lost_jobs: keys.len() });
        }
        keys.iter().for_each(|key| self.lose_ownership(key));
        for job in self.jobs.values_mut().filter(|job| job.state == ClaimState::Attached) {
            job.state = ClaimState::Pending;
            job.possibly_owned_elsewhere = true;
        }
    }

    /// Under a new member list, reports the jobs that this process owns to their coordinators, and claims
    /// again those whose claims are pending and those that other processes owned.
    fn report_all_owned(&mut self, now: Micros) {
        let keys: Vec<JobKey> = self.jobs.keys().cloned().collect();
        for key in keys {
            let (term, coordinator) = (self.term, key.coordinator(&self.members));
            let (Some(job), Some(coordinator)) = (self.jobs.get_mut(&key), coordinator) else { continue };
            match job.state {
                ClaimState::Owned => {
                    job.acked_version = None;
                    let record = job.record.snapshot(now, &key);
                    self.send(coordinator, Message::ReportOwned { term, record });
                }
                ClaimState::Pending | ClaimState::Attached => {
                    job.state = ClaimState::Pending;
                    self.request_claim(now, &key);
                }
                ClaimState::Unreplicated | ClaimState::ReplicationDeferred => {}
            }
        }
    }

    /// Under a new member list, reports the replicas of jobs that have ended and of those whose owners are
    /// gone.
    fn report_all_orphaned(&mut self, now: Micros) {
        let term = self.term;
        let mut reports = Vec::new();
        for (key, replica) in &self.replicas {
            let orphaned = replica.record.outcome.is_some() || !self.is_listed(replica.record.owner);
            let coordinator = key.coordinator(&self.members).filter(|other| *other != self.local);
            if let Some(coordinator) = coordinator.filter(|_| orphaned) {
                reports.push((coordinator, replica.record.snapshot(now, key)));
            }
        }
        for (coordinator, record) in reports {
            self.send(coordinator, Message::ReportOrphaned { term, record });
        }
    }

    pub(crate) fn handle_report_complete(&mut self, now: Micros, from: ProcessId) {
        self.reported.insert(from.ordinal);
        if self.all_reported || !self.members.ordinals().all(|ordinal| self.reported.contains(&ordinal)) {
            return;
        }
        self.all_reported = true;
        self.handle_all_reported(now);
    }
}
