//! The figures against a ledger: seeded days of jobs, faults and clients that leave, played through the core
//! on a virtual clock. Every answer the core orders is written down; the figures must say the same.
#![allow(missing_docs)]

use brackenledge_engine::{Answer, Arrival, Command, Core, DispatchId, Request};
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

/// What was seen, counted by hand.
#[derive(Default)]
struct Ledger {
    class: HashMap<JobId, usize>,
    answered: HashMap<JobId, &'static str>,
    gone: Vec<JobId>,
    /// By class: served, refused, failed.
    ends: [[u64; 3]; CLASSES],
    written: u64,
    refused_at_door: [u64; CLASSES],
}

fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut now = 1_000_000.0;
    let mut core = Core::new(now, settings(), seed);
    core.servers(ListKind::Full, (0..WORKERS).map(worker).collect());
    let mut ledger = Ledger::default();
    let mut out: Vec<DispatchId> = Vec::new();
    let mut wake_at = f64::INFINITY;
    let mut serial = 0;
    for _ in 0..3_000 {
        now += rng.f64() * 20.0;
        match rng.u32(0..10) {
            0..=3 => {
                serial += 1;
                let class = rng.usize(0..CLASSES);
                let arrival = Arrival {
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
                        watched: false,
                    },
                };
                let job = core.job_arrived(now, arrival).expect("ids are new");
                ledger.class.insert(job, class);
            }
            4 => {
                // A front that turns a job away before the core sees it.
                let class = rng.usize(0..CLASSES);
                core.refused_at_door(class);
                ledger.refused_at_door[class] += 1;
            }
            5 => {
                // A client leaves, its job maybe still open.
                let open: Vec<JobId> =
                    ledger.class.keys().filter(|job| !ledger.answered.contains_key(job)).copied().collect();
                if !open.is_empty() {
                    let job = open[rng.usize(0..open.len())];
                    if !ledger.gone.contains(&job) {
                        ledger.gone.push(job);
                        core.client_gone(job);
                    }
                }
            }
            _ if !out.is_empty() => {
                let id = out.swap_remove(rng.usize(0..out.len()));
                let written = rng.u32(0..10) > 0;
                if written {
                    core.dispatch_written(id);
                    ledger.written += 1;
                }
                match (written, rng.u32(0..6)) {
                    (false, _) => core.dispatch_ended(id, Outcome::ConnectFailed, None),
                    (true, 0) => core.dispatch_ended(id, Outcome::Error, None),
                    (true, 1) => core.dispatch_ended(id, Outcome::Reset, None),
                    (true, 2) => core.dispatch_ended(id, Outcome::Full, None),
                    _ => core.dispatch_served(id, "ok".into(), None),
                }
            }
            _ => {}
        }
        if now >= wake_at {
            wake_at = f64::INFINITY;
            core.wake();
        }
        while let Some(order) = core.poll_command(now) {
            match order {
                Command::Answer { job, answer, .. } => {
                    let kind = match answer {
                        Answer::Served(_) => 0,
                        Answer::Denied { .. } => 1,
                        Answer::Failed => 2,
                    };
                    let before = ledger.answered.insert(job, ["served", "refused", "failed"][kind]);
                    assert!(before.is_none(), "seed {seed}: job {job} answered twice");
                    assert!(
                        !ledger.gone.contains(&job),
                        "seed {seed}: job {job} answered after its client left"
                    );
                    ledger.ends[ledger.class[&job]][kind] += 1;
                }
                Command::Dispatch { id, .. } => out.push(id),
                Command::Cancel { id } => {
                    if let Some(at) = out.iter().position(|&o| o == id) {
                        out.swap_remove(at);
                        core.dispatch_ended(id, Outcome::Cancelled, None);
                    }
                }
                Command::Wake { after } => wake_at = wake_at.min(now + after),
                _ => {}
            }
        }
        let figures = core.figures();
        for class in 0..CLASSES {
            let shown = figures.classes[class];
            let [served, refused, failed] = ledger.ends[class];
            assert_eq!(shown.fulfilled, served, "seed {seed}, class {class}: fulfilled");
            assert_eq!(
                shown.throttled,
                refused + ledger.refused_at_door[class],
                "seed {seed}, class {class}"
            );
            assert_eq!(shown.faulted, failed, "seed {seed}, class {class}: faulted");
        }
        assert_eq!(figures.relayed, ledger.written, "seed {seed}: relayed");
        let open = ledger.class.len() - ledger.answered.len() - ledger.gone.len();
        assert_eq!(core.owed(), open, "seed {seed}: open requests");
    }
    // The day was not empty: each way of ending came up.
    let total: [u64; 3] = (0..3)
        .map(|kind| ledger.ends.iter().map(|class| class[kind]).sum::<u64>())
        .collect::<Vec<_>>()
        .try_into()
        .expect("three");
    assert!(total.iter().all(|&count| count > 0), "seed {seed}: {total:?}");
}

#[test]
fn the_figures_agree_with_a_ledger_of_every_answer_over_seeded_days() {
    for seed in 1..=24 {
        play(seed);
    }
}
