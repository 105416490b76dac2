//! The checker can fail: for each rule a history that violates it, and one beside it that does not.
#![allow(missing_docs)]

use brackenledge_leases::{Ballot, Epoch, Term};
use brackenledge_test_cluster::checker::{ANSWER_TOLERANCE, RoleHolder};
use brackenledge_test_cluster::history::{HistoryEvent, ProcessEvent, RequestEnd};
use brackenledge_test_cluster::rules::RULES;
use brackenledge_test_cluster::{Report, Scenario, check};
use std::path::Path;

const VIEW: usize = 0;
const SALE: usize = 1;
const BUY: usize = 2;

fn scenario() -> Scenario {
    let text = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 4\nzones = [\"n\", \"s\"]\n";
    Scenario::parse(Path::new("a.toml"), text).expect("a scenario")
}

fn checked(history: &[HistoryEvent]) -> Report {
    check(history, &scenario())
}

fn violated(history: &[HistoryEvent]) -> Vec<&'static str> {
    checked(history).violations.iter().map(|violation| violation.rule).collect()
}

fn sent(class: usize, job: usize, id: &str, at: f64) -> Vec<HistoryEvent> {
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

fn served(id: &str, worker: usize, at: f64) -> HistoryEvent {
    ended(id, RequestEnd::Served(format!("{id}-{worker}")), at)
}

fn process(change: ProcessEvent, at: f64) -> HistoryEvent {
    HistoryEvent::Process { at, scheduler: 0, change }
}

fn join(parts: Vec<Vec<HistoryEvent>>) -> Vec<HistoryEvent> {
    parts.concat()
}

#[test]
fn a_complete_history_violates_nothing_and_is_counted() {
    let history = join(vec![
        sent(VIEW, 0, "a", 0.0),
        executed("a", 1, 5.0),
        vec![served("a", 1, 110.0), HistoryEvent::JobEnded { at: 110.0, job: 0, served: true }],
    ]);
    let report = checked(&history);
    assert_eq!(report.violations, []);
    assert_eq!((report.jobs, report.served, report.requests), ([1, 0, 0], [1, 0, 0], [1, 0, 0]));
    assert!((report.latency[VIEW].median - 110.0).abs() < 1.0, "{:?}", report.latency);
}

#[test]
fn a_connection_to_a_killed_duplicate_process_exempts_a_lost_answer_for_a_moment_only() {
    // The duplicate is killed at 997 and the process under the same name goes on; the client writes at 1,000.
    let lost = |connected_at: f64, ended_at: f64| {
        let mut history = vec![process(ProcessEvent::Killed, 997.0), process(ProcessEvent::Started, 998.0)];
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
        violated(&history)
    };
    assert_eq!(lost(500.0, 1_001.0), [""; 0], "the connection may have been the duplicate's");
    assert_eq!(lost(999.0, 1_001.0), ["answers"], "it was opened after the death");
    assert_eq!(lost(500.0, 1_250.0), ["answers"], "the death closed its connections long before");
}

#[test]
fn each_way_to_lose_an_answer_is_a_violation_and_a_scheduler_s_death_exempts_only_what_it_held() {
    let executed_once = || join(vec![sent(VIEW, 0, "a", 1_000.0), executed("a", 1, 1_005.0)]);
    let table: Vec<(&str, Vec<HistoryEvent>, bool)> = vec![
        ("no end", vec![], true),
        ("two ends", vec![served("a", 1, 1_110.0), served("a", 1, 1_120.0)], true),
        ("a result that no worker made", vec![ended("a", RequestEnd::Served("x".into()), 1_110.0)], true),
        ("served too late", vec![served("a", 1, 4_001.0 + ANSWER_TOLERANCE)], true),
        ("served at the last moment", vec![served("a", 1, 3_999.0 + ANSWER_TOLERANCE)], false),
        ("ended without an answer", vec![ended("a", RequestEnd::ConnectionLost, 1_110.0)], true),
        ("never answered", vec![ended("a", RequestEnd::TimedOut, 4_400.0)], true),
        (
            "read, and its connection ended",
            vec![HistoryEvent::RequestResent { at: 1_050.0, request: "a".into() }, served("a", 1, 1_110.0)],
            true,
        ),
        (
            "killed with it",
            vec![process(ProcessEvent::Killed, 1_050.0), ended("a", RequestEnd::ConnectionLost, 1_051.0)],
            false,
        ),
        (
            "killed before it was asked",
            vec![
                process(ProcessEvent::Killed, 500.0),
                process(ProcessEvent::Started, 900.0),
                ended("a", RequestEnd::ConnectionLost, 1_110.0),
            ],
            true,
        ),
        (
            "paused with it",
            vec![process(ProcessEvent::Paused, 1_050.0), ended("a", RequestEnd::TimedOut, 4_400.0)],
            false,
        ),
        (
            "paused, and yet its connection was ended later",
            vec![
                process(ProcessEvent::Paused, 1_050.0),
                process(ProcessEvent::Resumed, 1_100.0),
                ended("a", RequestEnd::ConnectionLost, 2_000.0),
            ],
            false,
        ),
        (
            "terminated 0.1 s before it was asked",
            vec![process(ProcessEvent::Terminated, 900.0), ended("a", RequestEnd::ConnectionLost, 1_110.0)],
            true,
        ),
        (
            "terminated 0.8 s before it was asked",
            vec![process(ProcessEvent::Terminated, 200.0), ended("a", RequestEnd::ConnectionLost, 1_110.0)],
            false,
        ),
        (
            "cut off from its clients",
            vec![
                HistoryEvent::ClientsCutOff { at: 500.0, until: 5_000.0, scheduler: 0 },
                ended("a", RequestEnd::TimedOut, 4_400.0),
            ],
            false,
        ),
        (
            "another one cut off",
            vec![
                HistoryEvent::ClientsCutOff { at: 500.0, until: 5_000.0, scheduler: 1 },
                ended("a", RequestEnd::TimedOut, 4_400.0),
            ],
            true,
        ),
    ];
    for (what, rest, violates) in table {
        let history = join(vec![executed_once(), rest]);
        assert_eq!(
            violated(&history).contains(&"answers"),
            violates,
            "{what}: {:?}",
            checked(&history).violations
        );
    }
}

#[test]
fn a_retry_that_its_class_forbids_is_a_violation() {
    let returned = |id: &str, worker, at| HistoryEvent::AttemptReturned { at, request: id.into(), worker };
    let once = |class| join(vec![sent(class, 0, "a", 0.0), executed("a", 1, 5.0)]);
    let end = || vec![served("a", 1, 120.0)];
    let table: Vec<(&str, Vec<HistoryEvent>, bool)> = vec![
        ("a view twice", join(vec![once(VIEW), executed("a", 2, 50.0), end()]), false),
        ("a sale twice", join(vec![once(SALE), executed("a", 2, 50.0), end()]), true),
        (
            "a sale again after it was returned",
            join(vec![
                sent(SALE, 0, "a", 0.0),
                vec![received("a", 2, 1.0), returned("a", 2, 2.0)],
                executed("a", 1, 5.0),
                end(),
            ]),
            false,
        ),
        (
            "a view rejected that ran",
            join(vec![once(VIEW), vec![ended("a", RequestEnd::Rejected, 120.0)]]),
            false,
        ),
        (
            "a sale rejected that may have run",
            join(vec![once(SALE), vec![ended("a", RequestEnd::Rejected, 120.0)]]),
            true,
        ),
        (
            "a buy rejected that may have run",
            join(vec![once(BUY), vec![ended("a", RequestEnd::Rejected, 120.0)]]),
            true,
        ),
        ("a buy again in its zone", join(vec![once(BUY), executed("a", 3, 50.0), end()]), false),
        ("a buy again in another zone", join(vec![once(BUY), executed("a", 2, 50.0), end()]), true),
        ("a buy again after its window", join(vec![once(BUY), executed("a", 3, 7_600.0), end()]), true),
    ];
    for (what, history, violates) in table {
        assert_eq!(
            violated(&history).contains(&"retries"),
            violates,
            "{what}: {:?}",
            checked(&history).violations
        );
    }
}

#[test]
fn a_job_executed_by_two_schedulers_counts_as_a_duplicate_though_neither_violated_a_rule() {
    let history = join(vec![
        sent(SALE, 0, "a", 0.0),
        executed("a", 1, 5.0),
        vec![process(ProcessEvent::Killed, 50.0), ended("a", RequestEnd::ConnectionLost, 51.0)],
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
        join(vec![
            vec![announced.clone()],
            sent(VIEW, 0, "a", at),
            executed("a", 1, at),
            vec![served("a", 1, at + 110.0)],
        ])
    };
    assert_eq!(violated(&late(400.0)), [""; 0]);
    assert_eq!(violated(&late(600.0)), ["drains"]);
    let mut paused = late(2_000.0);
    paused.insert(0, process(ProcessEvent::Paused, 0.0));
    paused.insert(2, process(ProcessEvent::Resumed, 1_900.0));
    assert_eq!(violated(&paused), [""; 0], "who was paused learns of it late");
    let mut again = late(600.0);
    again.insert(1, HistoryEvent::WorkerReady { at: 300.0, worker: 1 });
    assert_eq!(violated(&again), [""; 0], "it takes work again");
}

#[test]
fn a_drain_that_discovery_lists_counts_as_known_after_6_s_though_it_was_never_announced() {
    let listed = HistoryEvent::DrainListed { at: 0.0, worker: 1 };
    let sent_at = |at| {
        join(vec![
            vec![listed.clone()],
            sent(VIEW, 0, "a", at),
            executed("a", 1, at),
            vec![served("a", 1, at + 110.0)],
        ])
    };
    assert_eq!(violated(&sent_at(6_400.0)), [""; 0]);
    assert_eq!(violated(&sent_at(6_600.0)), ["drains"]);
    let with = |event: HistoryEvent| {
        let mut history = sent_at(6_600.0);
        history.insert(1, event);
        violated(&history)
    };
    let unreachable = |at, until| HistoryEvent::DiscoveryUnreachable { at, until, scheduler: 0 };
    assert_eq!(with(unreachable(0.0, 1_000.0)), [""; 0], "it counts from discovery's return on");
    assert_eq!(with(unreachable(0.0, 50.0)), ["drains"]);
    let of_another = HistoryEvent::DiscoveryUnreachable { at: 0.0, until: 5_000.0, scheduler: 1 };
    assert_eq!(with(of_another), ["drains"]);
    assert_eq!(with(HistoryEvent::WorkerReady { at: 10.0, worker: 1 }), [""; 0], "it takes work again");
}

#[test]
fn an_overload_of_a_worker_that_warms_up_is_a_violation() {
    let overload = |every: f64| {
        let mut history = vec![HistoryEvent::WorkerStarted { at: 0.0, worker: 1 }];
        for job in 0..60 {
            let (id, at) = (format!("j{job}"), f64::from(job) * every);
            history.extend(join(vec![
                sent(VIEW, job as usize, &id, at),
                executed(&id, 1, at),
                vec![served(&id, 1, at + 110.0)],
            ]));
        }
        violated(&history)
    };
    // A third of three slots' 100 ms jobs at first: some nine in a second, and four times that is too much.
    assert!(overload(10.0).contains(&"slow-start"));
    assert_eq!(overload(60.0), [""; 0]);
}

#[test]
fn a_long_message_and_an_action_of_two_processes_under_one_term_are_violations() {
    let message = |bytes| vec![HistoryEvent::PeerMessage { at: 0.0, scheduler: 2, bytes }];
    assert_eq!(violated(&message(256)), [""; 0]);
    assert_eq!(violated(&message(257)), ["messages"]);
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
        assert_eq!(!violated(&history).is_empty(), violates, "{history:?}");
    }
    let known = ["answers", "retries", "drains", "slow-start", "messages", "fencing"];
    assert_eq!(RULES, known, "each has a history here");
}

/// The term of a lease's grant number.
fn term(step: u32) -> Term {
    Term { epoch: Epoch { era: 1, number: 1 }, ballot: Ballot { counter: 1, proposer: 0 }, step }
}

/// A leader names the holder of the first role's lease.
fn announced(at: f64, step: u32, holder: usize) -> HistoryEvent {
    HistoryEvent::RoleAnnounced { at, role: 0, term: term(step), holder, receiver: None }
}

fn fenced_message(at: f64, step: u32, sender: usize, receiver: Option<usize>) -> HistoryEvent {
    HistoryEvent::FencedMessage { at, role: 0, term: term(step), sender, receiver }
}

#[test]
fn a_term_with_two_holders_is_seen_late_fenced_messages_are_counted_and_a_succession_is_timed() {
    assert_eq!(violated(&[announced(0.0, 1, 0), fenced_message(1.0, 1, 1, None)]), ["fencing"]);
    let holder_dies = |successor_at: f64| {
        let mut history = vec![announced(0.0, 1, 0), process(ProcessEvent::Killed, 1_000.0)];
        history.extend([announced(1_100.0, 1, 0), announced(successor_at, 2, 1)]);
        history
    };
    let report = checked(&holder_dies(2_800.0));
    assert_eq!((report.violations.len(), report.max_vacancy), (0, Some(1_800.0)));
    let named = |at, holder| RoleHolder { at, role: 0, holder };
    assert_eq!(report.role_holders, [named(0.0, 0), named(2_800.0, 1)]);
    assert_eq!(checked(&holder_dies(2_800.0)[..3]).max_vacancy, None, "nobody followed");
    let mut late = holder_dies(2_800.0);
    late.push(fenced_message(2_900.0, 2, 1, Some(3)));
    late.push(fenced_message(3_000.0, 1, 0, Some(3)));
    late.push(fenced_message(3_100.0, 1, 0, Some(2)));
    assert_eq!(checked(&late).late_fenced_messages, 1, "only where a newer one had come");
}
