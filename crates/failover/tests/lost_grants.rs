//! The coordinator is lost before its grant or a rejection's discard arrives: a claim's owner keeps its job, and a job
//! that was rejected to its client is not run by anybody else.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_failover::{Command, JobOutcome, Settings};
use std::sync::Arc;
use virtual_cluster::{Cluster, key};

const OWNER: u16 = 0;

/// A cluster of three in which the claim of process 0 is granted and replicated, and the grant is lost with its
/// coordinator; the further replica coordinates the key next.
struct LostGrant {
    cluster: Cluster,
    name: String,
    waiter: u64,
    coordinator: u16,
    replica: u16,
}

impl LostGrant {
    fn new() -> LostGrant {
        let names = (0..1_000).map(|at| format!("lost-grant-{at}"));
        let found = names.map(LostGrant::with_name).find(|found| found.as_ref().is_some());
        found.flatten().expect("some key has these coordinators")
    }

    fn with_name(name: String) -> Option<LostGrant> {
        let mut probe = Cluster::new(3, Settings::default());
        probe.submit(OWNER, &name, true, true);
        let coordinator = probe.coordinator(&name, OWNER);
        let replica = 3 - coordinator;
        let mut later = Cluster::new(3, Settings::default());
        later.apply_member_list(vec![OWNER, replica]);
        later.submit(OWNER, &name, true, true);
        if coordinator == OWNER || later.coordinator(&name, OWNER) != replica {
            return None;
        }
        let mut cluster = Cluster::new(3, Settings::default());
        cluster.deaf.insert(OWNER);
        let waiter = cluster.submit(OWNER, &name, true, true);
        assert!(!cluster.request_attempt(OWNER, &name), "the grant does not arrive");
        Some(LostGrant { cluster, name, waiter, coordinator, replica })
    }

    /// The coordinator is lost; the two others learn of it at once.
    fn lose_coordinator(&mut self) {
        self.cluster.nodes[usize::from(self.coordinator)] = None;
        self.cluster.deaf.clear();
        self.cluster.apply_member_list(vec![OWNER, self.replica]);
    }

    fn answer(&self) -> Option<JobOutcome> {
        self.cluster.answer(OWNER, self.waiter)
    }

    fn replica_runs_it(&self) -> bool {
        self.cluster.started(self.replica, &self.name).is_some()
    }

    fn owner_may_send_it(&self) -> bool {
        let permit = Command::PermitAttempt { key: key(&self.name), attempt: 0 };
        self.cluster.commands[usize::from(OWNER)].contains(&permit)
    }
}

#[test]
fn a_claim_whose_grant_was_lost_is_granted_again_rather_than_taken_over() {
    let mut lost = LostGrant::new();
    lost.cluster.run(1_000);
    lost.lose_coordinator();
    assert!(!lost.replica_runs_it(), "its owner has claimed it again, and knows that nothing was sent");
    assert!(lost.owner_may_send_it());
    let served = JobOutcome::Served(Arc::from(&b"sold"[..]));
    let name = lost.name.clone();
    lost.cluster.finish_job(OWNER, &name, served.clone());
    assert_eq!(lost.answer(), Some(served));
}

#[test]
fn a_job_rejected_before_its_coordinator_is_replaced_is_not_taken_over() {
    let mut lost = LostGrant::new();
    lost.cluster.nodes[usize::from(lost.coordinator)] = None;
    lost.cluster.run(4_100);
    assert!(matches!(lost.answer(), Some(JobOutcome::Rejected(Some(_)))), "{:?}", lost.answer());
    lost.lose_coordinator();
    assert!(!lost.replica_runs_it(), "its client was answered that it has not run");
    assert!(!lost.owner_may_send_it());
}

#[test]
fn a_job_rejected_while_reports_are_incomplete_is_not_taken_over() {
    let mut lost = LostGrant::new();
    lost.cluster.run(3_900);
    // The replica's reports do not arrive, and so it is still without those of all members itself.
    lost.cluster.nodes[usize::from(lost.coordinator)] = None;
    lost.cluster.deaf.insert(lost.replica);
    lost.cluster.apply_member_list(vec![OWNER, lost.replica]);
    lost.cluster.run(200);
    assert!(matches!(lost.answer(), Some(JobOutcome::Rejected(Some(_)))), "{:?}", lost.answer());
    lost.cluster.deaf.clear();
    lost.cluster.apply_member_list(vec![OWNER, lost.replica]);
    assert!(!lost.replica_runs_it(), "its client was answered that it has not run");
}

#[test]
fn a_job_rejected_after_it_was_granted_is_not_taken_over() {
    let mut lost = LostGrant::new();
    lost.cluster = Cluster::new(3, Settings::default());
    lost.waiter = lost.cluster.submit(OWNER, &lost.name, true, true);
    assert!(lost.cluster.request_attempt(OWNER, &lost.name));
    // The attempt finds no worker, and neither that nor the discard reaches the coordinator.
    lost.cluster.nodes[usize::from(lost.coordinator)] = None;
    let now = lost.cluster.now;
    let owner = lost.cluster.nodes[usize::from(OWNER)].as_mut().expect("it lives");
    owner.attempt_never_ran(now, &key(&lost.name), 0);
    let name = lost.name.clone();
    lost.cluster.finish_job(OWNER, &name, JobOutcome::Rejected(None));
    assert!(matches!(lost.answer(), Some(JobOutcome::Rejected(_))));
    lost.lose_coordinator();
    assert!(!lost.replica_runs_it(), "its client was answered that it has not run");
}

#[test]
fn a_client_that_submits_a_rejected_job_again_has_a_new_job() {
    let mut lost = LostGrant::new();
    lost.cluster.nodes[usize::from(lost.coordinator)] = None;
    lost.cluster.run(4_100);
    let name = lost.name.clone();
    lost.lose_coordinator();
    let again = lost.cluster.submit(OWNER, &name, true, true);
    assert!(lost.cluster.request_attempt(OWNER, &name));
    // The next list comes while the discard of the first claim is still repeated.
    lost.cluster.apply_member_list(vec![OWNER, lost.replica]);
    assert!(!lost.replica_runs_it());
    let served = JobOutcome::Served(Arc::from(&b"sold"[..]));
    lost.cluster.finish_job(OWNER, &name, served.clone());
    assert_eq!(lost.cluster.answer(OWNER, again), Some(served));
}
