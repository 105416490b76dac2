//! The auditor can fail: for each rule a history that breaks it, and one beside it that does not.
#![allow(missing_docs)]

use brackenledge_test_cluster::Scenario;
use brackenledge_test_cluster::checker::{Audit, Event, How, LATE, Turn, audit};
use brackenledge_test_cluster::rules::RULES;
use std::path::Path;

const VIEW: usize = 0;
const SALE: usize = 1;
const BUY: usize = 2;

fn scenario() -> Scenario {
    let text = "name = \"a\"\nwhy = \"b\"\n[tier]\nschedulers = 4\nzones = [\"n\", \"s\"]\n";
    Scenario::parse(Path::new("a.toml"), text).expect("a scenario")
}

fn judged(history: &[Event]) -> Audit {
    audit(history, &scenario())
}

fn broken(history: &[Event]) -> Vec<&'static str> {
    judged(history).breaches.iter().map(|breach| breach.rule).collect()
}

fn asked(class: usize, job: usize, id: &str, at: f64) -> Vec<Event> {
    vec![
        Event::Born { at, job, class, zone: 0 },
        Event::Asked { at, connected: at, job, id: id.into(), scheduler: 0, deadline: at + 3_000.0 },
    ]
}

fn reached(id: &str, worker: usize, at: f64) -> Event {
    Event::Reached { at, sent: at, id: id.into(), scheduler: 0, worker, work: 100.0 }
}

fn ran(id: &str, worker: usize, at: f64) -> Vec<Event> {
    let finished =
        Event::Finished { at: at + 100.0, id: id.into(), worker, result: format!("{id}-{worker}") };
    vec![reached(id, worker, at), Event::Ran { at, id: id.into(), worker }, finished]
}

fn ended(id: &str, how: How, at: f64) -> Event {
    Event::Ended { at, id: id.into(), how }
}

fn served(id: &str, worker: usize, at: f64) -> Event {
    ended(id, How::Served(format!("{id}-{worker}")), at)
}

fn process(turn: Turn, at: f64) -> Event {
    Event::Process { at, scheduler: 0, turn }
}

fn join(parts: Vec<Vec<Event>>) -> Vec<Event> {
    parts.concat()
}

#[test]
fn a_whole_history_breaks_nothing_and_is_counted() {
    let history = join(vec![
        asked(VIEW, 0, "a", 0.0),
        ran("a", 1, 5.0),
        vec![served("a", 1, 110.0), Event::Settled { at: 110.0, job: 0, served: true }],
    ]);
    let audit = judged(&history);
    assert_eq!(audit.breaches, []);
    assert_eq!((audit.jobs, audit.served, audit.tries), ([1, 0, 0], [1, 0, 0], [1, 0, 0]));
    assert!((audit.latency[VIEW][0] - 110.0).abs() < 1.0, "{:?}", audit.latency);
}

#[test]
fn a_connection_to_a_killed_duplicate_process_excuses_a_lost_answer_for_a_moment_only() {
    // The duplicate is killed at 997 and the process under the same name goes on; the client writes at 1,000.
    let lost = |connected: f64, ended_at: f64| {
        let mut history = vec![process(Turn::Killed, 997.0), process(Turn::Up, 998.0)];
        let written =
            Event::Asked { at: 1_000.0, connected, job: 0, id: "a".into(), scheduler: 0, deadline: 4_000.0 };
        history.extend([Event::Born { at: 990.0, job: 0, class: VIEW, zone: 0 }, written]);
        history.push(ended("a", How::Lost, ended_at));
        broken(&history)
    };
    assert_eq!(lost(500.0, 1_001.0), [""; 0], "the connection may have been the duplicate's");
    assert_eq!(lost(999.0, 1_001.0), ["answers"], "it was opened after the death");
    assert_eq!(lost(500.0, 1_250.0), ["answers"], "the death closed its connections long before");
}

#[test]
fn each_way_to_lose_an_answer_is_seen_and_a_scheduler_s_death_excuses_only_what_it_held() {
    let whole = || join(vec![asked(VIEW, 0, "a", 1_000.0), ran("a", 1, 1_005.0)]);
    let table: Vec<(&str, Vec<Event>, bool)> = vec![
        ("no end", vec![], true),
        ("two ends", vec![served("a", 1, 1_110.0), served("a", 1, 1_120.0)], true),
        ("a result of nobody's", vec![ended("a", How::Served("x".into()), 1_110.0)], true),
        ("served too late", vec![served("a", 1, 4_001.0 + LATE)], true),
        ("served at the last moment", vec![served("a", 1, 3_999.0 + LATE)], false),
        ("ended without an answer", vec![ended("a", How::Lost, 1_110.0)], true),
        ("never answered", vec![ended("a", How::GaveUp, 4_400.0)], true),
        (
            "read, and its connection ended",
            vec![Event::Crossed { at: 1_050.0, id: "a".into() }, served("a", 1, 1_110.0)],
            true,
        ),
        ("killed with it", vec![process(Turn::Killed, 1_050.0), ended("a", How::Lost, 1_051.0)], false),
        (
            "killed before it was asked",
            vec![process(Turn::Killed, 500.0), process(Turn::Up, 900.0), ended("a", How::Lost, 1_110.0)],
            true,
        ),
        ("stopped with it", vec![process(Turn::Stopped, 1_050.0), ended("a", How::GaveUp, 4_400.0)], false),
        (
            "stopped, and yet its connection was ended later",
            vec![
                process(Turn::Stopped, 1_050.0),
                process(Turn::Continued, 1_100.0),
                ended("a", How::Lost, 2_000.0),
            ],
            false,
        ),
        (
            "told to end 0.1 s before it was asked",
            vec![process(Turn::Terminated, 900.0), ended("a", How::Lost, 1_110.0)],
            true,
        ),
        (
            "told to end 0.8 s before it was asked",
            vec![process(Turn::Terminated, 200.0), ended("a", How::Lost, 1_110.0)],
            false,
        ),
        (
            "cut off from its clients",
            vec![
                Event::Unheard { at: 500.0, until: 5_000.0, scheduler: 0 },
                ended("a", How::GaveUp, 4_400.0),
            ],
            false,
        ),
        (
            "another one cut off",
            vec![
                Event::Unheard { at: 500.0, until: 5_000.0, scheduler: 1 },
                ended("a", How::GaveUp, 4_400.0),
            ],
            true,
        ),
    ];
    for (what, rest, breaks) in table {
        let history = join(vec![whole(), rest]);
        assert_eq!(broken(&history).contains(&"answers"), breaks, "{what}: {:?}", judged(&history).breaches);
    }
}

#[test]
fn a_repeat_beyond_its_class_is_seen() {
    let returned = |id: &str, worker, at| Event::Returned { at, id: id.into(), worker };
    let once = |class| join(vec![asked(class, 0, "a", 0.0), ran("a", 1, 5.0)]);
    let end = || vec![served("a", 1, 120.0)];
    let table: Vec<(&str, Vec<Event>, bool)> = vec![
        ("a view twice", join(vec![once(VIEW), ran("a", 2, 50.0), end()]), false),
        ("a sale twice", join(vec![once(SALE), ran("a", 2, 50.0), end()]), true),
        (
            "a sale again after it was handed back",
            join(vec![
                asked(SALE, 0, "a", 0.0),
                vec![reached("a", 2, 1.0), returned("a", 2, 2.0)],
                ran("a", 1, 5.0),
                end(),
            ]),
            false,
        ),
        ("a view refused that ran", join(vec![once(VIEW), vec![ended("a", How::Refused, 120.0)]]), false),
        (
            "a sale refused that may have run",
            join(vec![once(SALE), vec![ended("a", How::Refused, 120.0)]]),
            true,
        ),
        (
            "a buy refused that may have run",
            join(vec![once(BUY), vec![ended("a", How::Refused, 120.0)]]),
            true,
        ),
        ("a buy again in its zone", join(vec![once(BUY), ran("a", 3, 50.0), end()]), false),
        ("a buy again in another zone", join(vec![once(BUY), ran("a", 2, 50.0), end()]), true),
        ("a buy again after its window", join(vec![once(BUY), ran("a", 3, 7_600.0), end()]), true),
    ];
    for (what, history, breaks) in table {
        assert_eq!(broken(&history).contains(&"repeats"), breaks, "{what}: {:?}", judged(&history).breaches);
    }
}

#[test]
fn one_order_run_by_two_schedulers_counts_as_a_double_though_neither_broke_a_rule() {
    let history = join(vec![
        asked(SALE, 0, "a", 0.0),
        ran("a", 1, 5.0),
        vec![process(Turn::Killed, 50.0), ended("a", How::Lost, 51.0)],
        vec![Event::Asked {
            at: 200.0,
            connected: 200.0,
            job: 0,
            id: "b".into(),
            scheduler: 1,
            deadline: 3_000.0,
        }],
        ran("b", 2, 205.0),
        vec![served("b", 2, 310.0), Event::Settled { at: 310.0, job: 0, served: true }],
    ]);
    let audit = judged(&history);
    assert_eq!(audit.breaches, []);
    assert_eq!((audit.doubles, audit.lost, audit.harmful_doubles()), ([0, 1, 0], [0, 1, 0], 1));
    let mut scenario = scenario();
    scenario.expect.doubles = Some(0);
    scenario.expect.lost = Some(0);
    assert_eq!(audit.verdict(&scenario).short.len(), 2);
}

#[test]
fn work_for_a_draining_worker_after_its_grace_is_seen() {
    let told = Event::Told { at: 0.0, scheduler: 0, worker: 1 };
    let late = |at| {
        join(vec![
            vec![told.clone()],
            asked(VIEW, 0, "a", at),
            ran("a", 1, at),
            vec![served("a", 1, at + 110.0)],
        ])
    };
    assert_eq!(broken(&late(400.0)), [""; 0]);
    assert_eq!(broken(&late(600.0)), ["drains"]);
    let mut stopped = late(2_000.0);
    stopped.insert(0, process(Turn::Stopped, 0.0));
    stopped.insert(2, process(Turn::Continued, 1_900.0));
    assert_eq!(broken(&stopped), [""; 0], "who was stopped learns it late");
    let mut again = late(600.0);
    again.insert(1, Event::Ready { at: 300.0, worker: 1 });
    assert_eq!(broken(&again), [""; 0], "it takes work again");
}

#[test]
fn a_cold_worker_that_all_rush_to_is_seen() {
    let rush = |every: f64| {
        let mut history = vec![Event::Started { at: 0.0, worker: 1 }];
        for job in 0..60 {
            let (id, at) = (format!("j{job}"), f64::from(job) * every);
            history.extend(join(vec![
                asked(VIEW, job as usize, &id, at),
                ran(&id, 1, at),
                vec![served(&id, 1, at + 110.0)],
            ]));
        }
        broken(&history)
    };
    // A third of three slots' 100 ms jobs at first: some nine in a second, and four times that is too much.
    assert!(rush(10.0).contains(&"cold"));
    assert_eq!(rush(60.0), [""; 0]);
}

#[test]
fn a_long_message_and_a_claim_of_two_are_seen() {
    let message = |bytes| vec![Event::Message { at: 0.0, scheduler: 2, bytes }];
    assert_eq!(broken(&message(256)), [""; 0]);
    assert_eq!(broken(&message(257)), ["messages"]);
    let claim = |term, by| Event::Claim { at: 0.0, claim: "deed".into(), subject: "relay".into(), term, by };
    let table = [
        (vec![claim(1, 0), claim(1, 0), claim(2, 1)], false),
        (vec![claim(1, 0), claim(1, 1)], true),
        (vec![claim(1, 0), claim(2, 1), claim(1, 0)], true),
    ];
    for (history, breaks) in table {
        assert_eq!(!broken(&history).is_empty(), breaks, "{history:?}");
    }
    let known = ["answers", "repeats", "drains", "cold", "messages", "claims"];
    assert_eq!(RULES, known, "each has a history here");
}

#[test]
fn a_term_with_two_owners_is_seen_late_deeds_are_counted_and_a_succession_is_timed() {
    let duty = |at, step, owner, deed, reached| Event::Duty {
        at,
        duty: 0,
        term: [1, 1, 1, 0, step],
        owner,
        deed,
        reached,
    };
    assert_eq!(broken(&[duty(0.0, 1, 0, false, None), duty(1.0, 1, 1, true, None)]), ["claims"]);
    let dies = |back: f64| {
        let mut history = vec![duty(0.0, 1, 0, false, None), process(Turn::Killed, 1_000.0)];
        history.extend([duty(1_100.0, 1, 0, false, None), duty(back, 2, 1, false, None)]);
        history
    };
    let audit = judged(&dies(2_800.0));
    assert_eq!((audit.breaches.len(), audit.owner_after), (0, Some(1_800.0)));
    assert_eq!(audit.owners, [(0.0, 0, 0), (2_800.0, 0, 1)]);
    assert_eq!(judged(&dies(2_800.0)[..3]).owner_after, None, "nobody followed");
    let mut late = dies(2_800.0);
    late.push(duty(2_900.0, 2, 1, true, Some(3)));
    late.push(duty(3_000.0, 1, 0, true, Some(3)));
    late.push(duty(3_100.0, 1, 0, true, Some(2)));
    assert_eq!(judged(&late).late_deeds, 1, "only where a newer one had come");
}
