//! The statistics against an independent count: seeded sequences of jobs, faults and clients that disconnect, run through
//! the engine on a virtual clock. Every answer that the engine commands is counted; the statistics must say the same.
#![allow(missing_docs)]

use brackenledge_engine::{Answer, AttemptId, Command, Engine, JobRequest, Request};
use brackenledge_policy::{
    Class, Effect, JobId, ListKind, NewJob, Outcome, Readiness, Settings, WorkerEntry,
};
use std::collections::HashMap;

const CLASSES: usize = 3;
const WORKERS: usize = 4;

fn settings() -> Settings {
    let class = Class { deadline: 3_000.0, ..Class::default() };
    Settings { classes: vec![class; CLASSES], max_attempts: 3, ..Settings::default() }
}

fn worker(id: usize) -> WorkerEntry {
    WorkerEntry {
        id,
        name: format!("w{id}"),
        zone: 0,
        kind: 0,
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        launched: None,
        doubt: 0.0,
    }
}

/// What was seen, counted by the test.
#[derive(Default)]
struct ExpectedStats {
    class: HashMap<JobId, usize>,
    answered: HashMap<JobId, &'static str>,
    abandoned: Vec<JobId>,
    /// By class: served, rejected, failed.
    ends: [[u64; 3]; CLASSES],
    sent: u64,
    rejected_at_admission: [u64; CLASSES],
}

fn run(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut now = 1_000_000.0;
    let mut engine = Engine::new(now, settings(), seed);
    engine.update_workers(ListKind::Full, (0..WORKERS).map(worker).collect());
    let mut expected = ExpectedStats::default();
    let mut in_flight: Vec<AttemptId> = Vec::new();
    let mut timeout_at = f64::INFINITY;
    let mut serial = 0;
    for _ in 0..3_000 {
        now += rng.f64() * 20.0;
        match rng.u32(0..10) {
            0..=3 => {
                serial += 1;
                let class = rng.usize(0..CLASSES);
                let submitted = JobRequest {
                    client: serial,
                    job: NewJob {
                        id: 0,
                        class,
                        tenant: 0,
                        key: Some(format!("k{}", rng.u32(0..20))),
                        time_left: 200.0 + rng.f64() * 2_000.0,
                        effort: None,
                        slots: 1.0,
                        memory: 0.0,
                        is_retry: false,
                        ran: None,
                    },
                    request: Request {
                        id: format!("t{serial}"),
                        target: "/x".into(),
                        idempotency_key: None,
                        content_type: None,
                        body: Vec::new(),
                        effect: Effect::Safe,
                        reports_attempts: false,
                    },
                };
                let job = engine.submit_job(now, submitted).expect("ids are new");
                expected.class.insert(job, class);
            }
            4 => {
                // A frontend rejects a job before the engine sees it.
                let class = rng.usize(0..CLASSES);
                engine.rejected_at_admission(class);
                expected.rejected_at_admission[class] += 1;
            }
            5 => {
                // A client disconnects, its job maybe still open.
                let open: Vec<JobId> = expected
                    .class
                    .keys()
                    .filter(|job| !expected.answered.contains_key(job))
                    .copied()
                    .collect();
                if !open.is_empty() {
                    let job = open[rng.usize(0..open.len())];
                    if !expected.abandoned.contains(&job) {
                        expected.abandoned.push(job);
                        engine.abandon_job(job);
                    }
                }
            }
            _ if !in_flight.is_empty() => {
                let id = in_flight.swap_remove(rng.usize(0..in_flight.len()));
                let sent = rng.u32(0..10) > 0;
                if sent {
                    engine.attempt_sent(id);
                    expected.sent += 1;
                }
                match (sent, rng.u32(0..6)) {
                    (false, _) => engine.attempt_ended(id, Outcome::ConnectFailed, None),
                    (true, 0) => engine.attempt_ended(id, Outcome::Error, None),
                    (true, 1) => engine.attempt_ended(id, Outcome::Reset, None),
                    (true, 2) => engine.attempt_ended(id, Outcome::Full, None),
                    _ => engine.attempt_served(id, "ok".into(), None),
                }
            }
            _ => {}
        }
        if now >= timeout_at {
            timeout_at = f64::INFINITY;
            engine.handle_timeout();
        }
        while let Some(command) = engine.poll_command(now) {
            match command {
                Command::Answer { job, answer, .. } => {
                    let kind = match answer {
                        Answer::Served(_) => 0,
                        Answer::Rejected { .. } => 1,
                        Answer::Failed => 2,
                    };
                    let before = expected.answered.insert(job, ["served", "rejected", "failed"][kind]);
                    assert!(before.is_none(), "seed {seed}: job {job} answered twice");
                    assert!(
                        !expected.abandoned.contains(&job),
                        "seed {seed}: job {job} answered after its client disconnected"
                    );
                    expected.ends[expected.class[&job]][kind] += 1;
                }
                Command::StartAttempt { id, .. } => in_flight.push(id),
                Command::CancelAttempt { id } => {
                    if let Some(at) = in_flight.iter().position(|&attempt| attempt == id) {
                        in_flight.swap_remove(at);
                        engine.attempt_ended(id, Outcome::Cancelled, None);
                    }
                }
                Command::SetTimer { after } => timeout_at = timeout_at.min(now + after),
                _ => {}
            }
        }
        let stats = engine.stats();
        for class in 0..CLASSES {
            let counted = stats.classes[class];
            let [served, rejected, failed] = expected.ends[class];
            assert_eq!(counted.served, served, "seed {seed}, class {class}: served");
            assert_eq!(
                counted.rejected,
                rejected + expected.rejected_at_admission[class],
                "seed {seed}, class {class}"
            );
            assert_eq!(counted.failed, failed, "seed {seed}, class {class}: failed");
        }
        assert_eq!(stats.sent_attempts, expected.sent, "seed {seed}: sent attempts");
        let open = expected.class.len() - expected.answered.len() - expected.abandoned.len();
        assert_eq!(engine.pending_jobs(), open, "seed {seed}: pending jobs");
    }
    // Each way of ending has occurred.
    let total: [u64; 3] = (0..3)
        .map(|kind| expected.ends.iter().map(|class| class[kind]).sum::<u64>())
        .collect::<Vec<_>>()
        .try_into()
        .expect("three");
    assert!(total.iter().all(|&count| count > 0), "seed {seed}: {total:?}");
}

#[test]
fn the_statistics_agree_with_an_independent_count_of_every_answer() {
    for seed in 1..=24 {
        run(seed);
    }
}
