//! Tests in a virtual cluster: replica placement, unresponsive processes, capacity, timeouts, ages of
//! attempts and graceful shutdown.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_failover::{Command, Failover, JobOutcome, JobSubmission, Message, ProcessId, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;
use virtual_cluster::{Cluster, MS, SentMessage, StartedJob, key};

#[test]
fn an_attempt_is_permitted_once_coordinator_and_replica_have_acknowledged_it() {
    for node_count in [2, 3, 6] {
        for (index, name) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
            let mut cluster = Cluster::new(node_count, Settings::default());
            let node = index as u16 % node_count;
            cluster.submit(node, name, true, true);
            assert!(cluster.request_attempt(node, name), "job {name}, {node_count} nodes");
            let held = cluster
                .nodes
                .iter()
                .flatten()
                .map(|failover| failover.record_counts(1).unfinished_replicas)
                .sum::<usize>();
            // An owner that coordinates the key itself holds a record too, and two others hold replicas.
            let own_copy = usize::from(cluster.coordinator(name, node) == node);
            assert_eq!(
                held,
                (2 + own_copy).min(usize::from(node_count) - 1 + own_copy),
                "job {name}, {node_count} nodes"
            );
        }
    }
}

#[test]
fn the_replica_is_in_another_zone_than_coordinator_and_owner() {
    let mut cluster = Cluster::new(6, Settings::default());
    for index in 0..40 {
        cluster.submit(0, &format!("k{index}"), true, true);
    }
    let zone = |node: u16| node % 2;
    let mut checked = 0;
    for SentMessage { from: coordinator, to: replica, message } in &cluster.sent {
        let Message::Replicate { record, .. } = message else { continue };
        let owner = record.owner.ordinal;
        if zone(*coordinator) == zone(owner) && *coordinator != owner {
            checked += 1;
            assert_ne!(zone(*replica), zone(owner), "{coordinator} and {owner} are in one zone");
        }
    }
    assert!(checked > 5, "only {checked} replicas were checked");
}

/// A name whose coordinator in a cluster of five is neither node 0 nor node 1, and that coordinator.
fn name_and_coordinator() -> (String, u16) {
    let mut probe = Cluster::new(5, Settings::default());
    let name = probe.name_coordinated_elsewhere(5, &[0, 1]);
    probe.submit(0, &name, true, true);
    let coordinator = probe.coordinator(&name, 0);
    (name, coordinator)
}

#[test]
fn an_unresponsive_replica_is_replaced() {
    let (name, coordinator) = name_and_coordinator();
    let mut cluster = Cluster::new(5, Settings::default());
    // Only the owner, the coordinator and one more node answer. The coordinator tries the others until it
    // finds that node.
    cluster.isolated = (1..5).filter(|&node| node != coordinator).skip(1).collect();
    cluster.submit(0, &name, true, true);
    let at_once = cluster.request_attempt(0, &name);
    cluster.run(500);
    assert!(at_once || cluster.commands[0].contains(&Command::PermitAttempt { key: key(&name), attempt: 0 }));
}

#[test]
fn a_job_whose_coordinator_does_not_answer_is_rejected_at_the_claim_timeout() {
    let (name, coordinator) = name_and_coordinator();
    let mut cluster = Cluster::new(5, Settings::default());
    cluster.isolated.insert(coordinator);
    let waiter = cluster.submit(0, &name, true, true);
    assert!(!cluster.request_attempt(0, &name), "its coordinator is isolated");
    cluster.run(3_900);
    assert_eq!(cluster.answer(0, waiter), None, "a member list without the coordinator may still arrive");
    cluster.run(200);
    assert!(
        matches!(cluster.answer(0, waiter), Some(JobOutcome::Rejected(Some(_)))),
        "rejected, because no attempt was sent"
    );
}

#[test]
fn a_job_that_does_not_require_replication_runs_at_the_claim_timeout_of_an_isolated_coordinator() {
    let (name, coordinator) = name_and_coordinator();
    let mut cluster = Cluster::new(5, Settings::default());
    cluster.isolated.insert(coordinator);
    cluster.submit(0, &name, true, false);
    cluster.request_attempt(0, &name);
    cluster.run(4_200);
    assert!(cluster.commands[0].contains(&Command::PermitAttempt { key: key(&name), attempt: 0 }));
}

#[test]
fn at_capacity_a_job_is_rejected_or_runs_unreplicated_by_its_class() {
    let settings = Settings { max_records: 10, ..Settings::default() };
    let mut cluster = Cluster::new(3, settings);
    let mut counts_by_result = BTreeMap::new();
    for index in 0..60 {
        let (name, requires_replication) = (format!("k{index}"), index % 2 == 0);
        let waiter = cluster.submit(0, &name, true, requires_replication);
        let rejected = matches!(cluster.answer(0, waiter), Some(JobOutcome::Rejected(Some(_))));
        *counts_by_result.entry((requires_replication, rejected)).or_insert(0) += 1;
        let runs = cluster.started(0, &name).is_some();
        assert!(runs || rejected, "{name} neither runs nor is rejected");
    }
    assert!(counts_by_result.get(&(true, true)).is_some_and(|&count| count > 10), "{counts_by_result:?}");
    assert_eq!(counts_by_result.get(&(false, true)), None, "{counts_by_result:?}");
    let counters = cluster.nodes[0].as_ref().expect("the node runs").counters();
    assert!(counters.rejected > 10 && counters.unreplicated > 10, "{counters:?}");
}

#[test]
fn a_job_that_may_run_any_number_of_times_is_replicated_only_after_the_replication_delay() {
    let mut cluster = Cluster::new(4, Settings::default());
    cluster.sent.clear();
    let waiter = cluster.submit(1, "short", false, false);
    assert!(cluster.request_attempt(1, "short"), "it needs no acknowledgement");
    cluster.run(40);
    cluster.finish_job(1, "short", JobOutcome::Served(Arc::from(&b"x"[..])));
    assert_eq!(cluster.answer(1, waiter), Some(JobOutcome::Served(Arc::from(&b"x"[..]))));
    assert!(cluster.sent.is_empty(), "{:?}", cluster.sent);
    cluster.submit(1, "long", false, false);
    cluster.run(100);
    assert!(
        cluster.nodes.iter().flatten().any(|failover| failover.record_counts(1).unfinished_replicas > 0),
        "not replicated after the replication delay"
    );
    // When its owner is lost, another node runs it; attempts of such a job are not recorded.
    cluster.nodes[1] = None;
    cluster.apply_member_list(vec![0, 2, 3]);
    let started: Vec<_> =
        (0..4).filter_map(|node| cluster.started(node, "long").filter(|job| job.taken_over)).collect();
    assert_eq!(started, [StartedJob { prior_execution_age: None, taken_over: true }]);
}

#[test]
fn a_takeover_learns_the_greatest_age_of_an_attempt_that_may_have_run() {
    let mut cluster = Cluster::new(4, Settings::default());
    let name = cluster.name_coordinated_elsewhere(4, &[0, 1]);
    cluster.submit(0, &name, true, true);
    assert!(cluster.request_attempt(0, &name));
    cluster.run(2_000);
    let coordinator = cluster.coordinator(&name, 0);
    cluster.nodes[0] = None;
    cluster.apply_member_list((1..4).collect());
    let started = cluster.started(coordinator, &name).expect("its coordinator takes it over");
    let age = started.prior_execution_age.expect("it may have run");
    assert!(started.taken_over && (2_000 * MS..2_100 * MS).contains(&age), "{started:?}");
    // If the record comes from another node's snapshot, the time in transit may be added.
    let mut cluster = Cluster::new(4, Settings::default());
    cluster.submit(0, &name, true, true);
    assert!(cluster.request_attempt(0, &name));
    cluster.run(2_000);
    (cluster.nodes[0], cluster.nodes[usize::from(coordinator)]) = (None, None);
    cluster.apply_member_list((1..4).filter(|&node| node != coordinator).collect());
    let started: Vec<_> = (1..4).filter_map(|node| cluster.started(node, &name)).collect();
    assert_eq!(started.len(), 1, "{started:?}");
    assert!(started[0].prior_execution_age.is_some_and(|age| age >= 2_000 * MS), "{started:?}");
}

#[test]
fn an_outcome_is_sent_to_every_client_until_its_record_expires() {
    let mut cluster = Cluster::new(4, Settings::default());
    cluster.submit(0, "k", true, true);
    assert!(cluster.request_attempt(0, "k"));
    let served = JobOutcome::Served(Arc::from(&b"sold"[..]));
    cluster.finish_job(0, "k", served.clone());
    for node in 0..4 {
        let again = cluster.submit(node, "k", true, true);
        assert_eq!(cluster.answer(node, again), Some(served.clone()), "at {node}");
    }
    // Its deadline is after 5 s, and the retention is another 10 s.
    cluster.run(14_000);
    let again = cluster.submit(2, "k", true, true);
    assert_eq!(cluster.answer(2, again), Some(served));
    cluster.run(3_000);
    for failover in cluster.nodes.iter().flatten() {
        assert_eq!(failover.record_counts(1).finished_replicas, 0, "the record has expired");
        assert_eq!(failover.replica_bytes(), 0);
    }
}

#[test]
fn replica_bytes_match_the_records_held_after_rejections_and_expiry() {
    let mut cluster = Cluster::new(2, Settings { replication_factor: 1, ..Settings::default() });
    let bytes =
        |cluster: &Cluster| cluster.nodes.iter().flatten().map(Failover::replica_bytes).collect::<Vec<_>>();
    cluster.submit(0, "stays", true, true);
    let alone = bytes(&cluster);
    for index in 0..20 {
        let name = format!("goes-{index}");
        cluster.submit(0, &name, true, true);
        cluster.request_attempt(0, &name);
        let now = cluster.now;
        cluster.nodes[0].as_mut().expect("the node runs").attempt_never_ran(now, &key(&name), 0);
        cluster.execute_commands();
        assert_ne!(bytes(&cluster), alone);
        cluster.finish_job(0, &name, JobOutcome::Rejected(None));
        assert_eq!(bytes(&cluster), alone, "after {name}");
    }
    cluster.finish_job(0, "stays", JobOutcome::Failed);
    cluster.run(17_000);
    assert_eq!(bytes(&cluster), [0, 0]);
}

#[test]
fn a_client_attached_to_a_job_that_is_rejected_gets_a_time_to_retry() {
    let mut cluster = Cluster::new(4, Settings::default());
    cluster.submit(0, "k", true, true);
    let attached = cluster.submit(1, "k", true, true);
    cluster.finish_job(0, "k", JobOutcome::Rejected(None));
    assert!(
        matches!(cluster.answer(1, attached), Some(JobOutcome::Rejected(Some(_)))),
        "{:?}",
        cluster.answer(1, attached)
    );
}

#[test]
fn a_restarted_process_owns_nothing_and_is_a_member_again_under_the_next_member_list() {
    let mut cluster = Cluster::new(4, Settings::default());
    let name = cluster.name_coordinated_elsewhere(4, &[0]);
    let first = cluster.submit(0, &name, true, true);
    assert!(cluster.request_attempt(0, &name));
    let again = ProcessId { ordinal: 0, incarnation: 2 };
    cluster.nodes[0].as_mut().expect("the node runs").restart_as(again);
    cluster.execute_commands();
    assert!(cluster.commands[0].contains(&Command::Revoke { key: key(&name) }), "the others take it over");
    cluster.incarnations.insert(0, 2);
    cluster.apply_member_list((0..4).collect());
    assert!(cluster.nodes[0].as_ref().expect("the node runs").is_settled(cluster.now));
    // Its coordinator has taken it over, and the client waits for its outcome.
    let coordinator = cluster.coordinator(&name, 0);
    assert!(cluster.started(coordinator, &name).is_some_and(|job| job.taken_over));
    cluster.finish_job(coordinator, &name, JobOutcome::Failed);
    assert_eq!(cluster.answer(0, first), Some(JobOutcome::Failed));
    cluster.submit(0, "another", true, true);
    assert!(cluster.request_attempt(0, "another"));
}

#[test]
fn graceful_shutdown_transfers_what_was_not_sent_and_keeps_the_rest() {
    let mut cluster = Cluster::new(4, Settings::default());
    let unsent = cluster.submit(0, "unsent", true, true);
    let sent = cluster.submit(0, "sent", true, true);
    assert!(cluster.request_attempt(0, "sent"));
    assert_eq!(cluster.nodes[0].as_mut().expect("the node runs").transfer_all(cluster.now), 1);
    cluster.execute_commands();
    assert!(matches!(cluster.answer(0, unsent), Some(JobOutcome::Rejected(Some(_)))));
    assert_eq!(cluster.answer(0, sent), None);
    let starts: Vec<u16> =
        (0..4).filter(|&node| cluster.started(node, "unsent").is_some_and(|job| job.taken_over)).collect();
    assert_eq!(starts.len(), 1, "exactly one node takes it over: {starts:?}");
    // Its client submits it again, and gets the outcome of that run.
    let again = cluster.submit(3, "unsent", true, true);
    cluster.finish_job(starts[0], "unsent", JobOutcome::Failed);
    assert_eq!(cluster.answer(3, again), Some(JobOutcome::Failed));
}

#[test]
fn a_job_whose_client_disconnects_before_it_is_sent_ends_and_one_that_was_sent_continues() {
    for phase in ["not sent", "waits for acknowledgement", "sent"] {
        let mut cluster = Cluster::new(4, Settings::default());
        let waiter = cluster.submit(0, "k", true, true);
        if phase == "waits for acknowledgement" {
            cluster.isolated = (1..4).collect();
        }
        if phase != "not sent" {
            assert_eq!(cluster.request_attempt(0, "k"), phase == "sent", "{phase}");
        }
        let now = cluster.now;
        cluster.isolated.clear();
        cluster.nodes[0].as_mut().expect("the node runs").client_disconnected(now, waiter);
        cluster.execute_commands();
        assert_eq!(
            cluster.commands[0].contains(&Command::Revoke { key: key("k") }),
            phase != "sent",
            "{phase}"
        );
        // When the owner is lost, no other node takes over a job that was not sent.
        cluster.nodes[0] = None;
        cluster.apply_member_list((1..4).collect());
        let starts = (1..4).filter(|&node| cluster.started(node, "k").is_some()).count();
        assert!(phase == "sent" || starts == 0, "{phase}: {starts} take it over");
    }
}

#[test]
fn without_a_member_lease_nothing_starts_and_no_result_is_sent_until_it_is_renewed() {
    let mut cluster = Cluster::new(4, Settings::default());
    let waiter = cluster.submit(0, "k", true, true);
    cluster.nodes[0].as_mut().expect("the node runs").set_member_lease(cluster.now, 0);
    assert!(!cluster.request_attempt(0, "k"));
    cluster.nodes[0].as_mut().expect("the node runs").set_member_lease(cluster.now, u64::MAX);
    cluster.execute_commands();
    assert!(cluster.commands[0].contains(&Command::PermitAttempt { key: key("k"), attempt: 0 }));
    cluster.nodes[0].as_mut().expect("the node runs").set_member_lease(cluster.now, 0);
    // The other nodes do not learn that the job has ended.
    cluster.isolated = (1..4).collect();
    cluster.finish_job(0, "k", JobOutcome::Served(Arc::from(&b"x"[..])));
    assert_eq!(cluster.answer(0, waiter), None, "another node may own it by now");
    cluster.run(5_000);
    assert_eq!(
        cluster.answer(0, waiter),
        Some(JobOutcome::Failed),
        "at its deadline the outcome is still unconfirmed"
    );
}

#[test]
fn a_client_whose_deadline_is_earlier_than_its_jobs_is_answered_by_its_own() {
    let mut cluster = Cluster::new(4, Settings::default());
    cluster.submit(0, "k", true, true);
    assert!(cluster.request_attempt(0, "k"));
    cluster.waiter += 1;
    let (waiter, deadline) = (cluster.waiter, cluster.now + 1_000 * MS);
    let submission = JobSubmission {
        payload: Arc::from(&b"k"[..]),
        requires_ack: true,
        requires_replication: true,
        deadline,
    };
    cluster.nodes[0].as_mut().expect("the node runs").submit(cluster.now, waiter, key("k"), submission);
    cluster.run(980);
    assert_eq!(cluster.answer(0, waiter), None);
    cluster.run(60);
    assert_eq!(cluster.answer(0, waiter), Some(JobOutcome::Failed), "the job continues, and may have run");
}
