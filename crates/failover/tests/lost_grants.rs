//! Loss of a coordinator together with a message from it or to it. If its grant is lost, the claimant still
//! gets the job. If the discard of a rejected job is lost, no other process runs that job, because its client
//! was told that it had not run.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_failover::{Command, JobOutcome, Settings};
use std::sync::Arc;
use virtual_cluster::{Cluster, key};

const OWNER: u16 = 0;

/// A cluster of three in which the claim of process 0 is granted and replicated, but the grant does not reach
/// it. When the coordinator is lost, the further replica coordinates the key.
struct LostGrant {
    cluster: Cluster,
    name: String,
    waiter: u64,
    coordinator: u16,
    replica: u16,
}

impl LostGrant {
    fn new() -> LostGrant {
        let names = (0..1_000).map(|index| format!("lost-grant-{index}"));
        let found = names.map(LostGrant::with_name).find(|found| found.as_ref().is_some());
        found.flatten().expect("some name has these coordinators")
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
        cluster.inbound_blocked.insert(OWNER);
        let waiter = cluster.submit(OWNER, &name, true, true);
        assert!(!cluster.request_attempt(OWNER, &name), "the grant does not arrive");
        Some(LostGrant { cluster, name, waiter, coordinator, replica })
    }

    /// Stops the coordinator; the two others apply a member list without it at once.
    fn lose_coordinator(&mut self) {
        self.cluster.nodes[usize::from(self.coordinator)] = None;
        self.cluster.inbound_blocked.clear();
        self.cluster.apply_member_list(vec![OWNER, self.replica]);
    }

    fn answer(&self) -> Option<JobOutcome> {
        self.cluster.answer(OWNER, self.waiter)
    }

    fn started_by_replica(&self) -> bool {
        self.cluster.started(self.replica, &self.name).is_some()
    }

    fn attempt_permitted_at_owner(&self) -> bool {
        let permit = Command::PermitAttempt { key: key(&self.name), attempt: 0 };
        self.cluster.commands[usize::from(OWNER)].contains(&permit)
    }
}

#[test]
fn a_claim_whose_grant_was_lost_is_granted_again_rather_than_taken_over() {
    let mut setup = LostGrant::new();
    setup.cluster.run(1_000);
    setup.lose_coordinator();
    assert!(!setup.started_by_replica(), "its owner has claimed it again, and no attempt was sent");
    assert!(setup.attempt_permitted_at_owner());
    let served = JobOutcome::Served(Arc::from(&b"sold"[..]));
    let name = setup.name.clone();
    setup.cluster.finish_job(OWNER, &name, served.clone());
    assert_eq!(setup.answer(), Some(served));
}

#[test]
fn a_job_rejected_before_its_coordinator_is_replaced_is_not_taken_over() {
    let mut setup = LostGrant::new();
    setup.cluster.nodes[usize::from(setup.coordinator)] = None;
    setup.cluster.run(4_100);
    assert!(matches!(setup.answer(), Some(JobOutcome::Rejected(Some(_)))), "{:?}", setup.answer());
    setup.lose_coordinator();
    assert!(!setup.started_by_replica(), "its client was told that it has not run");
    assert!(!setup.attempt_permitted_at_owner());
}

#[test]
fn a_job_rejected_while_reports_are_incomplete_is_not_taken_over() {
    let mut setup = LostGrant::new();
    setup.cluster.run(3_900);
    // The replica, which is the new coordinator, receives no messages, and so does not have all reports.
    setup.cluster.nodes[usize::from(setup.coordinator)] = None;
    setup.cluster.inbound_blocked.insert(setup.replica);
    setup.cluster.apply_member_list(vec![OWNER, setup.replica]);
    setup.cluster.run(200);
    assert!(matches!(setup.answer(), Some(JobOutcome::Rejected(Some(_)))), "{:?}", setup.answer());
    setup.cluster.inbound_blocked.clear();
    setup.cluster.apply_member_list(vec![OWNER, setup.replica]);
    assert!(!setup.started_by_replica(), "its client was told that it has not run");
}

#[test]
fn a_job_rejected_after_it_was_granted_is_not_taken_over() {
    let mut setup = LostGrant::new();
    setup.cluster = Cluster::new(3, Settings::default());
    setup.waiter = setup.cluster.submit(OWNER, &setup.name, true, true);
    assert!(setup.cluster.request_attempt(OWNER, &setup.name));
    // The attempt finds no worker; neither this nor the discard reaches the coordinator, which has stopped.
    setup.cluster.nodes[usize::from(setup.coordinator)] = None;
    let now = setup.cluster.now;
    let owner = setup.cluster.nodes[usize::from(OWNER)].as_mut().expect("the node runs");
    owner.attempt_never_ran(now, &key(&setup.name), 0);
    let name = setup.name.clone();
    setup.cluster.finish_job(OWNER, &name, JobOutcome::Rejected(None));
    assert!(matches!(setup.answer(), Some(JobOutcome::Rejected(_))));
    setup.lose_coordinator();
    assert!(!setup.started_by_replica(), "its client was told that it has not run");
}

#[test]
fn a_client_that_submits_a_rejected_job_again_has_a_new_job() {
    let mut setup = LostGrant::new();
    setup.cluster.nodes[usize::from(setup.coordinator)] = None;
    setup.cluster.run(4_100);
    let name = setup.name.clone();
    setup.lose_coordinator();
    let again = setup.cluster.submit(OWNER, &name, true, true);
    assert!(setup.cluster.request_attempt(OWNER, &name));
    // The next list arrives while the discard of the first claim is still sent again under each list.
    setup.cluster.apply_member_list(vec![OWNER, setup.replica]);
    assert!(!setup.started_by_replica());
    let served = JobOutcome::Served(Arc::from(&b"sold"[..]));
    setup.cluster.finish_job(OWNER, &name, served.clone());
    assert_eq!(setup.cluster.answer(OWNER, again), Some(served));
}
