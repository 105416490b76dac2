//! Member lists, member leases, and the reports that follow a new list.

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

    /// Whether all members' reports are complete and our member lease lasts: jobs can be claimed and replicated.
    pub fn is_settled(&self, now: Micros) -> bool {
        self.all_reported && self.holds_lease(now)
    }

    /// Applies a member list, unless one as new is in force.
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

    /// Discards the state of the last member list.
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

    /// This process continues under a new incarnation, and is not a member under it yet: the jobs that it owned under
    /// the old one are taken over by others.
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

    /// Sets when our member lease expires.
    pub fn set_member_lease(&mut self, now: Micros, expiry: Micros) {
        self.lease_expiry = expiry;
        self.latest_lease_expiry = self.latest_lease_expiry.max(expiry);
        if self.holds_lease(now) {
            self.resume_under_lease();
        }
        self.deliver_loopback(now);
    }

    /// Whether our member lease lasts: nobody can have taken over the jobs that we own.
    pub(crate) fn holds_lease(&self, now: Micros) -> bool {
        self.is_member() && now < self.lease_expiry
    }

    /// Whether our lease has expired since then and does not last now: a claim of that time may have been granted to us,
    /// and the job taken over by another since, without our knowing.
    pub(crate) fn lease_lapsed_since(&self, now: Micros, since: Micros) -> bool {
        self.latest_lease_expiry > since && !self.holds_lease(now)
    }

    /// Whether we are on the member list.
    pub(crate) fn is_member(&self) -> bool {
        self.lists(self.local)
    }

    /// Whether a process is on the member list.
    pub(crate) fn lists(&self, process: ProcessId) -> bool {
        self.members.contains(process)
    }

    /// We are not on the member list: others take over the jobs that we owned.
    fn handle_exclusion(&mut self) {
        let owned = self.jobs.iter().filter(|(_, job)| job.state == ClaimState::Owned);
        let keys: Vec<JobKey> = owned.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.emit(Event::ExcludedFromMembers { term: self.term, lost_jobs: keys.len() });
        }
        keys.iter().for_each(|key| self.lose_ownership(key));
        for job in self.jobs.values_mut().filter(|job| job.state == ClaimState::Attached) {
            job.state = ClaimState::Pending;
            job.possibly_lost = true;
        }
    }

    /// Under a new member list: reports the jobs that we own to their coordinators, and claims the others again.
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

    /// Under a new member list: reports replicas of jobs that have ended, and of those whose owners are gone.
    fn report_all_orphaned(&mut self, now: Micros) {
        let term = self.term;
        let mut reports = Vec::new();
        for (key, replica) in &self.replicas {
            let orphaned = replica.record.outcome.is_some() || !self.lists(replica.record.owner);
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
