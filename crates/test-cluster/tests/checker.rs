//! Tests of the checker. For each rule there are histories that violate it and similar ones that do not, to
//! guard against a checker that never reports a violation.
#![allow(missing_docs)]

use brackenledge_leases::{Ballot, Epoch, Term};
use brackenledge_test_cluster::checker::{ANSWER_TOLERANCE, RoleHolder};
use brackenledge_test_cluster::history::{HistoryEvent, ProcessEvent, RequestEnd};
use brackenledge_test_cluster::rules::RULES;
use brackenledge_test_cluster::{Report, Scenario, check};
use std::path::Path;

/// Class `farm-view`, whose jobs may be retried.
const VIEW: usize = 0;
/// Class `market-sale`, whose jobs must not be retried once they may have run.
const SALE: usize = 1;
/// Class `coin-buy`, whose jobs may be retried within their zone and deduplication window.
const BUY: usize = 2;

fn scenario() -> Scenario {
    let text = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 4\nzones = [\"n\", \"s\"]\n";
    Scenario::parse(Path::new("a.toml"), text).expect("a scenario")
}

fn checked(history: &[HistoryEvent]) -> Report {
    check(history, &scenario())
}

fn violated_rules(history: &[HistoryEvent]) -> Vec<&'static str> {
    checked(history).violations.iter().map(|violation| violation.rule).collect()
}

/// A job of a client in zone 0, and a request for it to scheduler 0.
fn job_with_request(class: usize, job: usize, id: &str, at: f64) -> Vec<HistoryEvent> {
    vec![
        HistoryEvent::JobCreated { at, job, class, zone: 0 },
        HistoryEvent::RequestSent {
            at,
            connected_at: at,
            job,
            request: id.into(),
            scheduler: 0,
            deadline: at + 3_000.0,
        },
    ]
}

/// An attempt of scheduler 0 with a run time of 100 ms.
fn received(id: &str, worker: usize, at: f64) -> HistoryEvent {
    HistoryEvent::AttemptReceived {
        at,
        sent_at: at,
        request: id.into(),
        scheduler: 0,
        worker,
        run_time: 100.0,
    }
}

/// An attempt that is executed as soon as it is received.
fn executed(id: &str, worker: usize, at: f64) -> Vec<HistoryEvent> {
    let finished = HistoryEvent::AttemptFinished {
        at: at + 100.0,
        request: id.into(),
        worker,
        result: format!("{id}-{worker}"),
    };
    vec![received(id, worker, at), HistoryEvent::AttemptStarted { at, request: id.into(), worker }, finished]
}

fn ended(id: &str, end: RequestEnd, at: f64) -> HistoryEvent {
    HistoryEvent::RequestEnded { at, request: id.into(), end }
}

/// The request ends with the result of its execution on `worker`.
fn served(id: &str, worker: usize, at: f64) -> HistoryEvent {
    ended(id, RequestEnd::Served(format!("{id}-{worker}")), at)
}

/// An event of scheduler 0's process.
fn process_event(change: ProcessEvent, at: f64) -> HistoryEvent {
    HistoryEvent::Process { at, scheduler: 0, change }
}

fn concat(parts: Vec<Vec<HistoryEvent>>) -> Vec<HistoryEvent> {
    parts.concat()
}

#[test]
fn a_served_job_violates_no_rule_and_is_counted() {
    let history = concat(vec![
        job_with_request(VIEW, 0, "a", 0.0),
        executed("a", 1, 5.0),
        vec![served("a", 1, 110.0), HistoryEvent::JobEnded { at: 110.0, job: 0, served: true }],
    ]);
    let report = checked(&history);
    assert_eq!(report.violations, []);
    assert_eq!((report.jobs, report.served, report.requests), ([1, 0, 0], [1, 0, 0], [1, 0, 0]));
    assert!((report.latency[VIEW].median - 110.0).abs() < 1.0, "{:?}", report.latency);
}

#[test]
fn a_connection_to_a_killed_duplicate_process_exempts_a_lost_answer_only_briefly() {
    // The duplicate is killed at 997 ms and the primary process continues; the client writes at 1,000 ms.
    let lost = |connected_at: f64, ended_at: f64| {
        let mut history =
            vec![process_event(ProcessEvent::Killed, 997.0), process_event(ProcessEvent::Started, 998.0)];
        let written = HistoryEvent::RequestSent {
            at: 1_000.0,
            connected_at,
            job: 0,
            request: "a".into(),
            scheduler: 0,
            deadline: 4_000.0,
        };
        history.extend([HistoryEvent::JobCreated { at: 990.0, job: 0, class: VIEW, zone: 0 }, written]);
        history.push(ended("a", RequestEnd::ConnectionLost, ended_at));
        violated_rules(&history)
    };
    assert_eq!(lost(500.0, 1_001.0), [""; 0], "the connection may have been to the duplicate");
    assert_eq!(lost(999.0, 1_001.0), ["answers"], "the connection was opened after the kill");
    assert_eq!(lost(500.0, 1_250.0), ["answers"], "the loss is too long after the kill");
}

#[test]
fn lost_late_and_invalid_answers_are_violations_unless_a_fault_of_their_scheduler_exempts_them() {
    let executed_once = || concat(vec![job_with_request(VIEW, 0, "a", 1_000.0), executed("a", 1, 1_005.0)]);
    let table: Vec<(&str, Vec<HistoryEvent>, bool)> = vec![
        ("no end", vec![], true),
        ("two ends", vec![served("a", 1, 1_110.0), served("a", 1, 1_120.0)], true),
        ("a result that no worker produced", vec![ended("a", RequestEnd::Served("x".into()), 1_110.0)], true),
        ("served too late", vec![served("a", 1, 4_001.0 + ANSWER_TOLERANCE)], true),
        ("served just within the tolerance", vec![served("a", 1, 3_999.0 + ANSWER_TOLERANCE)], false),
        ("ended without an answer", vec![ended("a", RequestEnd::ConnectionLost, 1_110.0)], true),
        ("never answered", vec![ended("a", RequestEnd::TimedOut, 4_400.0)], true),
        (
            "resent although a worker had received an attempt",
            vec![HistoryEvent::RequestResent { at: 1_050.0, request: "a".into() }, served("a", 1, 1_110.0)],
            true,
        ),
        (
            "scheduler killed after it had got the request",
            vec![
                process_event(ProcessEvent::Killed, 1_050.0),
                ended("a", RequestEnd::ConnectionLost, 1_051.0),
            ],
            false,
        ),
        (
            "scheduler killed and back before it got the request",
            vec![
                process_event(ProcessEvent::Killed, 500.0),
                process_event(ProcessEvent::Started, 900.0),
                ended("a", RequestEnd::ConnectionLost, 1_110.0),
            ],
            true,
        ),
        (
            "scheduler paused after it had got the request",
            vec![process_event(ProcessEvent::Paused, 1_050.0), ended("a", RequestEnd::TimedOut, 4_400.0)],
            false,
        ),
        (
            "scheduler paused and resumed, connection ended later",
            vec![
                process_event(ProcessEvent::Paused, 1_050.0),
                process_event(ProcessEvent::Resumed, 1_100.0),
                ended("a", RequestEnd::ConnectionLost, 2_000.0),
            ],
            false,
        ),
        (
            "scheduler terminated 0.1 s before the request",
            vec![
                process_event(ProcessEvent::Terminated, 900.0),
                ended("a", RequestEnd::ConnectionLost, 1_110.0),
            ],
            true,
        ),
        (
            "scheduler terminated 0.8 s before the request",
            vec![
                process_event(ProcessEvent::Terminated, 200.0),
                ended("a", RequestEnd::ConnectionLost, 1_110.0),
            ],
            false,
        ),
        (
            "scheduler cut off from its clients",
            vec![
                HistoryEvent::ClientsCutOff { at: 500.0, until: 5_000.0, scheduler: 0 },
                ended("a", RequestEnd::TimedOut, 4_400.0),
            ],
            false,
        ),
        (
            "another scheduler cut off from its clients",
            vec![
                HistoryEvent::ClientsCutOff { at: 500.0, until: 5_000.0, scheduler: 1 },
                ended("a", RequestEnd::TimedOut, 4_400.0),
            ],
            true,
        ),
    ];
    for (what, rest, violates) in table {
        let history = concat(vec![executed_once(), rest]);
        assert_eq!(
            violated_rules(&history).contains(&"answers"),
            violates,
            "{what}: {:?}",
            checked(&history).violations
        );
    }
}

#[test]
fn a_retry_that_the_job_s_class_forbids_is_a_violation() {
    let returned = |id: &str, worker, at| HistoryEvent::AttemptReturned { at, request: id.into(), worker };
    let once = |class| concat(vec![job_with_request(class, 0, "a", 0.0), executed("a", 1, 5.0)]);
    let end = || vec![served("a", 1, 120.0)];
    let table: Vec<(&str, Vec<HistoryEvent>, bool)> = vec![
        ("farm-view executed twice", concat(vec![once(VIEW), executed("a", 2, 50.0), end()]), false),
        ("market-sale executed twice", concat(vec![once(SALE), executed("a", 2, 50.0), end()]), true),
        (
            "market-sale executed after another worker returned it",
            concat(vec![
                job_with_request(SALE, 0, "a", 0.0),
                vec![received("a", 2, 1.0), returned("a", 2, 2.0)],
                executed("a", 1, 5.0),
                end(),
            ]),
            false,
        ),
        (
            "farm-view rejected after execution",
            concat(vec![once(VIEW), vec![ended("a", RequestEnd::Rejected, 120.0)]]),
            false,
        ),
        (
            "market-sale rejected after execution",
            concat(vec![once(SALE), vec![ended("a", RequestEnd::Rejected, 120.0)]]),
            true,
        ),
        (
            "coin-buy rejected after execution",
            concat(vec![once(BUY), vec![ended("a", RequestEnd::Rejected, 120.0)]]),
            true,
        ),
        (
            "coin-buy executed again in its zone",
            concat(vec![once(BUY), executed("a", 3, 50.0), end()]),
            false,
        ),
        (
            "coin-buy executed again in another zone",
            concat(vec![once(BUY), executed("a", 2, 50.0), end()]),
            true,
        ),
        (
            "coin-buy executed again after its window",
            concat(vec![once(BUY), executed("a", 3, 7_600.0), end()]),
            true,
        ),
    ];
    for (what, history, violates) in table {
        assert_eq!(
            violated_rules(&history).contains(&"retries"),
            violates,
            "{what}: {:?}",
            checked(&history).violations
        );
    }
}

#[test]
fn a_job_executed_through_two_schedulers_is_a_duplicate_but_violates_no_rule() {
    let history = concat(vec![
        job_with_request(SALE, 0, "a", 0.0),
        executed("a", 1, 5.0),
        vec![process_event(ProcessEvent::Killed, 50.0), ended("a", RequestEnd::ConnectionLost, 51.0)],
        vec![HistoryEvent::RequestSent {
            at: 200.0,
            connected_at: 200.0,
            job: 0,
            request: "b".into(),
            scheduler: 1,
            deadline: 3_000.0,
        }],
        executed("b", 2, 205.0),
        vec![served("b", 2, 310.0), HistoryEvent::JobEnded { at: 310.0, job: 0, served: true }],
    ]);
    let report = checked(&history);
    assert_eq!(report.violations, []);
    assert_eq!(
        (report.duplicate_executions, report.lost, report.harmful_duplicates()),
        ([0, 1, 0], [0, 1, 0], 1)
    );
    let mut scenario = scenario();
    scenario.expect.max_duplicate_executions = Some(0);
    scenario.expect.max_lost = Some(0);
    assert_eq!(report.verdict(&scenario).failures.len(), 2);
}

#[test]
fn an_attempt_on_a_draining_worker_after_the_tolerance_is_a_violation() {
    let announced = HistoryEvent::DrainAnnounced { at: 0.0, scheduler: 0, worker: 1 };
    let late = |at| {
        concat(vec![
            vec![announced.clone()],
            job_with_request(VIEW, 0, "a", at),
            executed("a", 1, at),
            vec![served("a", 1, at + 110.0)],
        ])
    };
    assert_eq!(violated_rules(&late(400.0)), [""; 0]);
    assert_eq!(violated_rules(&late(600.0)), ["drains"]);
    let mut paused = late(2_000.0);
    paused.insert(0, process_event(ProcessEvent::Paused, 0.0));
    paused.insert(2, process_event(ProcessEvent::Resumed, 1_900.0));
    assert_eq!(violated_rules(&paused), [""; 0], "a paused scheduler learns of the drain when it resumes");
    let mut again = late(600.0);
    again.insert(1, HistoryEvent::WorkerReady { at: 300.0, worker: 1 });
    assert_eq!(violated_rules(&again), [""; 0], "the worker accepts work again");
}

#[test]
fn a_drain_in_discovery_s_list_counts_as_known_after_6_s_even_if_never_announced() {
    let listed = HistoryEvent::DrainListed { at: 0.0, worker: 1 };
    let sent_at = |at| {
        concat(vec![
            vec![listed.clone()],
            job_with_request(VIEW, 0, "a", at),
            executed("a", 1, at),
            vec![served("a", 1, at + 110.0)],
        ])
    };
    assert_eq!(violated_rules(&sent_at(6_400.0)), [""; 0]);
    assert_eq!(violated_rules(&sent_at(6_600.0)), ["drains"]);
    let with = |event: HistoryEvent| {
        let mut history = sent_at(6_600.0);
        history.insert(1, event);
        violated_rules(&history)
    };
    let unreachable = |at, until| HistoryEvent::DiscoveryUnreachable { at, until, scheduler: 0 };
    assert_eq!(
        with(unreachable(0.0, 1_000.0)),
        [""; 0],
        "the 6 s count from when discovery is reachable again"
    );
    assert_eq!(with(unreachable(0.0, 50.0)), ["drains"]);
    let other_scheduler = HistoryEvent::DiscoveryUnreachable { at: 0.0, until: 5_000.0, scheduler: 1 };
    assert_eq!(with(other_scheduler), ["drains"]);
    assert_eq!(
        with(HistoryEvent::WorkerReady { at: 10.0, worker: 1 }),
        [""; 0],
        "the worker accepts work again"
    );
}

#[test]
fn an_overload_of_a_warming_worker_is_a_violation() {
    let rules_violated_by = |interval: f64| {
        let mut history = vec![HistoryEvent::WorkerStarted { at: 0.0, worker: 1 }];
        for job in 0..60 {
            let (id, at) = (format!("j{job}"), f64::from(job) * interval);
            history.extend(concat(vec![
                job_with_request(VIEW, job as usize, &id, at),
                executed(&id, 1, at),
                vec![served(&id, 1, at + 110.0)],
            ]));
        }
        violated_rules(&history)
    };
    // A worker with three slots starts at a third of its capacity, about nine jobs of 100 ms per second. The
    // rule's limit is four times that.
    assert!(rules_violated_by(10.0).contains(&"slow-start"));
    assert_eq!(rules_violated_by(60.0), [""; 0]);
}

#[test]
fn a_too_long_datagram_and_an_action_of_two_processes_under_one_term_are_violations() {
    let message = |bytes| vec![HistoryEvent::PeerMessage { at: 0.0, scheduler: 2, bytes }];
    assert_eq!(violated_rules(&message(256)), [""; 0]);
    assert_eq!(violated_rules(&message(257)), ["messages"]);
    let action = |term, process| HistoryEvent::FencedAction {
        at: 0.0,
        action: "message".into(),
        subject: "aggregator".into(),
        term,
        process,
    };
    let table = [
        (vec![action(1, 0), action(1, 0), action(2, 1)], false),
        (vec![action(1, 0), action(1, 1)], true),
        (vec![action(1, 0), action(2, 1), action(1, 0)], true),
    ];
    for (history, violates) in table {
        assert_eq!(!violated_rules(&history).is_empty(), violates, "{history:?}");
    }
    let known = ["answers", "retries", "drains", "slow-start", "messages", "fencing"];
    assert_eq!(RULES, known, "a rule has no history in this file");
}

/// The term of a lease grant; `step` is the number of the grant.
fn term(step: u32) -> Term {
    Term { epoch: Epoch { era: 1, number: 1 }, ballot: Ballot { counter: 1, proposer: 0 }, step }
}

/// A leader announces the holder of the lease of role 0.
fn announced(at: f64, step: u32, holder: usize) -> HistoryEvent {
    HistoryEvent::RoleAnnounced { at, role: 0, term: term(step), holder, receiver: None }
}

fn fenced_message(at: f64, step: u32, sender: usize, receiver: Option<usize>) -> HistoryEvent {
    HistoryEvent::FencedMessage { at, role: 0, term: term(step), sender, receiver }
}

#[test]
fn two_holders_of_a_term_are_a_violation_and_vacancies_and_late_fenced_messages_are_measured() {
    assert_eq!(violated_rules(&[announced(0.0, 1, 0), fenced_message(1.0, 1, 1, None)]), ["fencing"]);
    let holder_killed = |successor_at: f64| {
        let mut history = vec![announced(0.0, 1, 0), process_event(ProcessEvent::Killed, 1_000.0)];
        history.extend([announced(1_100.0, 1, 0), announced(successor_at, 2, 1)]);
        history
    };
    let report = checked(&holder_killed(2_800.0));
    assert_eq!((report.violations.len(), report.max_vacancy), (0, Some(1_800.0)));
    let announcement = |at, holder| RoleHolder { at, role: 0, holder };
    assert_eq!(report.role_holders, [announcement(0.0, 0), announcement(2_800.0, 1)]);
    assert_eq!(checked(&holder_killed(2_800.0)[..3]).max_vacancy, None, "the lost holder has no successor");
    let mut late = holder_killed(2_800.0);
    late.push(fenced_message(2_900.0, 2, 1, Some(3)));
    late.push(fenced_message(3_000.0, 1, 0, Some(3)));
    late.push(fenced_message(3_100.0, 1, 0, Some(2)));
    assert_eq!(checked(&late).late_fenced_messages, 1, "only scheduler 3 had got a newer term before");
}
