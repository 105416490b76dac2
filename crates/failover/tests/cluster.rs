//! Capacity, timeouts, silent replicas, zones, ages of attempts and graceful shutdown, in a virtual cluster.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_failover::{Command, Failover, JobOutcome, JobSubmission, Message, ProcessId, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;
use virtual_cluster::{Cluster, MS, SentMessage, StartedJob, key};

#[test]
fn an_attempt_is_permitted_once_coordinator_and_replica_have_acknowledged_it() {
    for number in [2, 3, 6] {
        for (at, name) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
            let mut cluster = Cluster::new(number, Settings::default());
            let node = at as u16 % number;
            cluster.submit(node, name, true, true);
            assert!(cluster.request_attempt(node, name), "{name} of {number}");
            let held = cluster
                .nodes
                .iter()
                .flatten()
                .map(|one| one.record_counts(1).unfinished_replicas)
                .sum::<usize>();
            // The owner coordinates some keys itself, and then two others hold replicas.
            let away = usize::from(cluster.coordinator(name, node) == node);
            assert_eq!(held, (2 + away).min(usize::from(number) - 1 + away), "{name} of {number}");
        }
    }
}

#[test]
fn the_replica_is_in_another_zone_than_coordinator_and_owner() {
    let mut cluster = Cluster::new(6, Settings::default());
    for at in 0..40 {
        cluster.submit(0, &format!("k{at}"), true, true);
    }
    let zone = |node: u16| node % 2;
    let mut seen = 0;
    for SentMessage { from: coordinator, to: replica, message } in &cluster.sent {
        let Message::Replicate { record, .. } = message else { continue };
        let owner = record.owner.ordinal;
        if zone(*coordinator) == zone(owner) && *coordinator != owner {
            seen += 1;
            assert_ne!(zone(*replica), zone(owner), "{coordinator} and {owner} are in one zone");
        }
    }
    assert!(seen > 5, "{seen}");
}

/// A name whose coordinator in a cluster of five is neither process 0 nor process 1, and that coordinator.
fn name_and_coordinator() -> (String, u16) {
    let mut probe = Cluster::new(5, Settings::default());
    let name = probe.name_away_from(5, &[0, 1]);
    probe.submit(0, &name, true, true);
    let coordinator = probe.coordinator(&name, 0);
    (name, coordinator)
}

#[test]
fn a_silent_replica_is_replaced() {
    let (name, coordinator) = name_and_coordinator();
    let mut cluster = Cluster::new(5, Settings::default());
    // All but the owner, the coordinator and one more are silent: that one is found by trying the others.
    cluster.silent = (1..5).filter(|&node| node != coordinator).skip(1).collect();
    cluster.submit(0, &name, true, true);
    let at_once = cluster.request_attempt(0, &name);
    cluster.run(500);
    assert!(at_once || cluster.commands[0].contains(&Command::PermitAttempt { key: key(&name), attempt: 0 }));
}

#[test]
fn a_job_whose_coordinator_is_silent_is_rejected_at_the_claim_timeout() {
    let (name, coordinator) = name_and_coordinator();
    let mut cluster = Cluster::new(5, Settings::default());
    cluster.silent.insert(coordinator);
    let waiter = cluster.submit(0, &name, true, true);
    assert!(!cluster.request_attempt(0, &name), "its coordinator is silent");
    cluster.run(3_900);
    assert_eq!(cluster.answer(0, waiter), None, "a member list without the coordinator may come");
    cluster.run(200);
    assert!(
        matches!(cluster.answer(0, waiter), Some(JobOutcome::Rejected(Some(_)))),
        "rejected, for nothing was sent"
    );
}

#[test]
fn a_job_that_does_not_require_replication_runs_at_the_claim_timeout_of_a_silent_coordinator() {
    let (name, coordinator) = name_and_coordinator();
    let mut cluster = Cluster::new(5, Settings::default());
    cluster.silent.insert(coordinator);
    cluster.submit(0, &name, true, false);
    cluster.request_attempt(0, &name);
    cluster.run(4_200);
    assert!(cluster.commands[0].contains(&Command::PermitAttempt { key: key(&name), attempt: 0 }));
}

#[test]
fn at_capacity_a_job_is_rejected_or_runs_unreplicated_by_its_class() {
    let settings = Settings { max_records: 10, ..Settings::default() };
    let mut cluster = Cluster::new(3, settings);
    let mut ends = BTreeMap::new();
    for at in 0..60 {
        let (name, requires_replication) = (format!("k{at}"), at % 2 == 0);
        let waiter = cluster.submit(0, &name, true, requires_replication);
        let rejected = matches!(cluster.answer(0, waiter), Some(JobOutcome::Rejected(Some(_))));
        *ends.entry((requires_replication, rejected)).or_insert(0) += 1;
        let runs = cluster.started(0, &name).is_some();
        assert!(runs || rejected, "{name} neither runs nor is it rejected");
    }
    assert!(ends.get(&(true, true)).is_some_and(|&count| count > 10), "{ends:?}");
    assert_eq!(ends.get(&(false, true)), None, "{ends:?}");
    let counts = cluster.nodes[0].as_ref().expect("it lives").counters();
    assert!(counts.rejected > 10 && counts.unreplicated > 10, "{counts:?}");
}

#[test]
fn a_job_that_may_run_any_number_of_times_is_replicated_only_after_the_replication_delay() {
    let mut cluster = Cluster::new(4, Settings::default());
    cluster.sent.clear();
    let view = cluster.submit(1, "short", false, false);
    assert!(cluster.request_attempt(1, "short"), "it waits for no acknowledgement");
    cluster.run(40);
    cluster.finish_job(1, "short", JobOutcome::Served(Arc::from(&b"x"[..])));
    assert_eq!(cluster.answer(1, view), Some(JobOutcome::Served(Arc::from(&b"x"[..]))));
    assert!(cluster.sent.is_empty(), "{:?}", cluster.sent);
    cluster.submit(1, "long", false, false);
    cluster.run(100);
    assert!(
        cluster.nodes.iter().flatten().any(|one| one.record_counts(1).unfinished_replicas > 0),
        "replicated by now"
    );
    // Its owner is lost: another runs it, as if nothing had been sent.
    cluster.nodes[1] = None;
    cluster.apply_member_list(vec![0, 2, 3]);
    let started: Vec<_> =
        (0..4).filter_map(|node| cluster.started(node, "long").filter(|job| job.taken_over)).collect();
    assert_eq!(started, [StartedJob { prior_execution_age: None, taken_over: true }]);
}

#[test]
fn a_takeover_learns_the_greatest_age_of_an_attempt_that_may_have_run() {
    let mut cluster = Cluster::new(4, Settings::default());
    let name = cluster.name_away_from(4, &[0, 1]);
    cluster.submit(0, &name, true, true);
    assert!(cluster.request_attempt(0, &name));
    cluster.run(2_000);
    let coordinator = cluster.coordinator(&name, 0);
    cluster.nodes[0] = None;
    cluster.apply_member_list((1..4).collect());
    let started = cluster.started(coordinator, &name).expect("its coordinator takes it over");
    let age = started.prior_execution_age.expect("it may have run");
    assert!(started.taken_over && (2_000 * MS..2_100 * MS).contains(&age), "{started:?}");
    // From another's snapshot, the time in transit may come on top.
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
    // 5 s to its deadline, and 10 s more.
    cluster.run(14_000);
    let again = cluster.submit(2, "k", true, true);
    assert_eq!(cluster.answer(2, again), Some(served));
    cluster.run(3_000);
    for one in cluster.nodes.iter().flatten() {
        assert_eq!(one.record_counts(1).finished_replicas, 0, "discarded");
        assert_eq!(one.replica_bytes(), 0);
    }
}

#[test]
fn replica_bytes_are_those_of_the_records_whatever_became_of_them() {
    let mut cluster = Cluster::new(2, Settings { replication_factor: 1, ..Settings::default() });
    let bytes =
        |cluster: &Cluster| cluster.nodes.iter().flatten().map(Failover::replica_bytes).collect::<Vec<_>>();
    cluster.submit(0, "stays", true, true);
    let alone = bytes(&cluster);
    for at in 0..20 {
        let name = format!("goes-{at}");
        cluster.submit(0, &name, true, true);
        cluster.request_attempt(0, &name);
        let now = cluster.now;
        cluster.nodes[0].as_mut().expect("it lives").attempt_never_ran(now, &key(&name), 0);
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
    let name = cluster.name_away_from(4, &[0]);
    let first = cluster.submit(0, &name, true, true);
    assert!(cluster.request_attempt(0, &name));
    let again = ProcessId { ordinal: 0, incarnation: 2 };
    cluster.nodes[0].as_mut().expect("it lives").restart_as(again);
    cluster.execute_commands();
    assert!(cluster.commands[0].contains(&Command::Revoke { key: key(&name) }), "the others own it now");
    cluster.incarnations.insert(0, 2);
    cluster.apply_member_list((0..4).collect());
    assert!(cluster.nodes[0].as_ref().expect("it lives").is_settled(cluster.now));
    // Its coordinator has taken it over, and the client waits for that.
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
    assert_eq!(cluster.nodes[0].as_mut().expect("it lives").transfer_all(cluster.now), 1);
    cluster.execute_commands();
    assert!(matches!(cluster.answer(0, unsent), Some(JobOutcome::Rejected(Some(_)))));
    assert_eq!(cluster.answer(0, sent), None);
    let starts: Vec<u16> =
        (0..4).filter(|&node| cluster.started(node, "unsent").is_some_and(|job| job.taken_over)).collect();
    assert_eq!(starts.len(), 1, "one goes on with it: {starts:?}");
    // Its client submits it again, and gets the one outcome.
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
            cluster.silent = (1..4).collect();
        }
        if phase != "not sent" {
            assert_eq!(cluster.request_attempt(0, "k"), phase == "sent", "{phase}");
        }
        let now = cluster.now;
        cluster.silent.clear();
        cluster.nodes[0].as_mut().expect("it lives").client_disconnected(now, waiter);
        cluster.execute_commands();
        assert_eq!(
            cluster.commands[0].contains(&Command::Revoke { key: key("k") }),
            phase != "sent",
            "{phase}"
        );
        // Nor does another take it over when its owner is lost.
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
    cluster.nodes[0].as_mut().expect("it lives").set_member_lease(cluster.now, 0);
    assert!(!cluster.request_attempt(0, "k"));
    cluster.nodes[0].as_mut().expect("it lives").set_member_lease(cluster.now, u64::MAX);
    cluster.execute_commands();
    assert!(cluster.commands[0].contains(&Command::PermitAttempt { key: key("k"), attempt: 0 }));
    cluster.nodes[0].as_mut().expect("it lives").set_member_lease(cluster.now, 0);
    // No other process learns that it has ended.
    cluster.silent = (1..4).collect();
    cluster.finish_job(0, "k", JobOutcome::Served(Arc::from(&b"x"[..])));
    assert_eq!(cluster.answer(0, waiter), None, "another process may own it by now");
    cluster.run(5_000);
    assert_eq!(cluster.answer(0, waiter), Some(JobOutcome::Failed), "by its deadline nothing is promised");
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
    cluster.nodes[0].as_mut().expect("it lives").submit(cluster.now, waiter, key("k"), submission);
    cluster.run(980);
    assert_eq!(cluster.answer(0, waiter), None);
    cluster.run(60);
    assert_eq!(cluster.answer(0, waiter), Some(JobOutcome::Failed), "the job goes on, and may have run");
}
