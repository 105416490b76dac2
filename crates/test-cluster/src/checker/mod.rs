//! What every stand-in saw, and the judgement on it. Apart from the program's own counts; no I/O, no clock.
//!
//! Four rules are judged for each scheduler alone, as the platform does, and two for all together. What only several
//! schedulers could keep, and today's don't, is counted beside them: jobs without an answer since their scheduler
//! died, and jobs run twice since their client came again elsewhere.

use crate::Millis;
use crate::scenario::{KEYED_WINDOW, Scenario};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An answer may be so much later than its deadline: 8 ms and 50 ms are the platform's, the rest is for a machine
/// that runs everything at once.
pub const LATE: Millis = 300.0;
/// Time for a drain to be known, 250 ms and the platform's 50 ms, and again for the machine.
const DRAIN_GRACE: Millis = 250.0 + 50.0 + 200.0;
/// After SIGTERM a scheduler answers what came for so long.
const TERM_SERVES: Millis = 700.0;
/// What a cold worker can take is counted over a span of so long, and so many times over.
const COLD_SPAN: Millis = 3_000.0;
const COLD_MULTIPLE: f64 = 4.0;
/// What a killed process's connections still had to say is read by then.
pub const KILL_SEEN: Millis = 200.0;
/// An owner's lease, as operators have it unless they say otherwise.
const LEASE: Millis = 1_500.0;
/// The longest message between schedulers.
const MESSAGE_MOST: usize = 256;

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// 200 with this result.
    Served(String),
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// The connection ended without an answer.
    Lost,
    /// The client stopped waiting, past its deadline.
    GaveUp,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Turn {
    /// It runs.
    Up,
    /// It was killed, or ended by itself when nobody had asked it to.
    Killed,
    /// It was told to end.
    Terminated,
    /// It was stopped.
    Stopped,
    /// It goes on.
    Continued,
}

/// One line of the history. Times are in milliseconds from the start of traffic.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum Event {
    /// A client has a job.
    Born { at: Millis, job: usize, class: usize, zone: usize },
    /// A try of it has been written whole to a scheduler that had accepted the connection, which was opened at
    /// `connected`.
    Asked { at: Millis, connected: Millis, job: usize, id: String, scheduler: usize, deadline: Millis },
    /// The try has ended.
    Ended { at: Millis, id: String, how: How },
    /// The client is done with the job.
    Settled { at: Millis, job: usize, served: bool },
    /// An attempt's last byte has reached a worker; its first byte left the scheduler at `sent`.
    Reached { at: Millis, sent: Millis, id: String, scheduler: usize, worker: usize, work: Millis },
    /// A kept connection ended just as the try was written to it; the client writes it once more on a new one.
    Crossed { at: Millis, id: String },
    /// The worker has begun to run it.
    Ran { at: Millis, id: String, worker: usize },
    /// The worker has dropped it, for it had run that key.
    Dropped { at: Millis, id: String, worker: usize },
    /// The worker has handed it back unstarted.
    Returned { at: Millis, id: String, worker: usize },
    /// The worker has a result for it.
    Finished { at: Millis, id: String, worker: usize, result: String },
    /// Discovery has written to a scheduler that a worker takes nothing new.
    Told { at: Millis, scheduler: usize, worker: usize },
    /// The worker is ready again.
    Ready { at: Millis, worker: usize },
    /// A worker has started, cold.
    Started { at: Millis, worker: usize },
    /// A process of a scheduler.
    Process { at: Millis, scheduler: usize, turn: Turn },
    /// A scheduler's clients could not hear it from then until then.
    Unheard { at: Millis, until: Millis, scheduler: usize },
    /// A message between schedulers.
    Message { at: Millis, scheduler: usize, bytes: usize },
    /// A steward names a duty's owner and its term, or an owner's deed has left it (`deed`) or reached a receiver.
    Duty { at: Millis, duty: u8, term: [u32; 5], owner: usize, deed: bool, reached: Option<usize> },
    /// Somebody did what only one may do under a term: an owner's deed that its receiver accepted, or a job taken
    /// over. Terms of one subject never fall.
    Claim { at: Millis, claim: String, subject: String, term: u64, by: usize },
}

/// A rule that was broken, with who and what.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: &'static str,
    /// When.
    pub at: Millis,
    /// In words.
    pub what: String,
}

/// What a history comes to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Audit {
    /// Rules broken.
    pub breaches: Vec<Breach>,
    /// Jobs that came, by class.
    pub jobs: [usize; 3],
    /// Of these, served before their deadline.
    pub served: [usize; 3],
    /// Tries, by class.
    pub tries: [usize; 3],
    /// Tries with no answer at all: their scheduler was killed.
    pub lost: [usize; 3],
    /// Tries answered late, or not at all, since their scheduler was stopped or cut off from its clients.
    pub unheard: [usize; 3],
    /// Tries refused.
    pub refused: [usize; 3],
    /// Tries failed.
    pub failed: [usize; 3],
    /// Jobs run more often than once though the client asked with one key: waste for `farm-view`, harm for the others.
    pub doubles: [usize; 3],
    /// Repeats of keyed jobs that workers dropped.
    pub dropped: usize,
    /// Runs beyond one for each job, and those that nobody got an answer from, by class.
    pub wasted: [usize; 3],
    /// Time from a job's birth until it was served, by class: median, 99th in a hundred, most.
    pub latency: [[Millis; 3]; 3],
    /// Messages between schedulers, and their bytes.
    pub messages: usize,
    /// Bytes of these.
    pub message_bytes: usize,
    /// Jobs taken over: an attempt of a try was sent by another scheduler than the one that was asked; by class.
    pub adopted: [usize; 3],
    /// Of these, such that two others sent one.
    pub adopted_twice: usize,
    /// The longest time from the death of the scheduler that was asked until another sent an attempt.
    pub adopted_after: Millis,
    /// Jobs whose try was open at a scheduler when that died, stopped or was left, with 2 s or more to their deadline;
    /// and those of them whose client was told their end in time; by class.
    pub in_hand_at_fault: [usize; 3],
    /// See `in_hand_at_fault`.
    pub answered: [usize; 3],
    /// Deeds of owners that were sent; those that reached a receiver after one of a newer term: it must refuse them.
    pub deeds: usize,
    /// See `deeds`.
    pub late_deeds: usize,
    /// Owners named, one after another: when, which duty, who.
    pub owners: Vec<(Millis, u8, usize)>,
    /// The longest time from an owner's death, stop or end until another was named; `None`: one never was.
    pub owner_after: Option<Millis>,
    /// Part of the jobs served, by zone of the client and by span of [`BIN`].
    pub service: Vec<Vec<f64>>,
    /// Tries open at each scheduler, by span.
    pub in_hand: Vec<Vec<usize>>,
    /// Time from the last change for the better until service is back at 95% of what it was before the first fault;
    /// `None`: not within the run.
    pub back_in: Option<Millis>,
}

/// Service is measured over spans of this.
pub const BIN: Millis = 500.0;

/// A job of a client's: when it came, its class, the client's zone, and when the client was done and whether served.
type Wanted = (Millis, usize, usize, Option<(Millis, bool)>);

#[derive(Default)]
struct Try {
    job: usize,
    scheduler: usize,
    connected: Millis,
    asked: Millis,
    deadline: Millis,
    ends: Vec<(Millis, How)>,
    /// Attempts: when, at which worker, handed back unstarted when.
    attempts: Vec<(Millis, usize, Option<Millis>)>,
    /// Whose they were.
    senders: Vec<(Millis, usize)>,
    results: BTreeSet<String>,
}

/// A time in which a scheduler could not answer: from, until, and why; `None`: its clients could not hear it.
type Trouble = (Millis, Millis, Option<Turn>);

/// The times of trouble of each scheduler.
fn troubles(history: &[Event], schedulers: usize) -> Vec<Vec<Trouble>> {
    let mut all = vec![Vec::new(); schedulers];
    let mut since: Vec<Option<(Millis, Turn)>> = vec![None; schedulers];
    for event in history {
        match *event {
            Event::Process { at, scheduler, turn } => {
                let (open, all) = (&mut since[scheduler], &mut all[scheduler]);
                match turn {
                    Turn::Up | Turn::Continued => {
                        all.extend(open.take().map(|(from, was)| (from, at, Some(was))));
                    }
                    // A stopped one may be killed, and one that was told to end may be too.
                    Turn::Killed => {
                        all.extend(open.replace((at, turn)).map(|(from, was)| (from, at, Some(was))));
                    }
                    Turn::Terminated | Turn::Stopped => *open = open.or(Some((at, turn))),
                }
            }
            Event::Unheard { at, until, scheduler } => all[scheduler].push((at, until, None)),
            _ => {}
        }
    }
    for (all, open) in all.iter_mut().zip(since) {
        all.extend(open.map(|(from, was)| (from, f64::INFINITY, Some(was))));
    }
    all
}

/// What of a scheduler's troubles bears on a try that was open until `last`: whether it may have died with it, and
/// whether its answer may be late for it or not be heard.
fn excuses(troubles: &[Trouble], one: &Try, last: Millis) -> (bool, bool) {
    let asked = one.asked;
    // Of two processes under one name the other goes on, so that the time of trouble is over at once. A client that did not
    // know of the death yet may have written to a connection of the dead one.
    let mut died = troubles.iter().any(|&(from, _, why)| {
        why == Some(Turn::Killed) && one.connected <= from && from <= last && last <= from + KILL_SEEN
    });
    let mut late = false;
    for &(from, until, why) in troubles.iter().filter(|t| t.0 <= last && asked <= t.1) {
        match why {
            Some(Turn::Killed) => died = true,
            // What came in time before the end it was told of must be answered.
            Some(Turn::Terminated) => died |= asked > from + TERM_SERVES,
            _ => late |= asked <= until,
        }
    }
    (died, late || died)
}

/// Judges a history.
#[expect(
    clippy::too_many_lines,
    reason = "a function for each rule, third part of the work on readable code"
)]
pub fn audit(history: &[Event], scenario: &Scenario) -> Audit {
    let mut audit = Audit::default();
    let troubles = troubles(history, scenario.schedulers);
    let mut jobs: BTreeMap<usize, Wanted> = BTreeMap::new();
    let mut tries: BTreeMap<&str, Try> = BTreeMap::new();
    let mut runs: HashMap<usize, Vec<(Millis, usize)>> = HashMap::new();
    let mut told: HashMap<(usize, usize), Millis> = HashMap::new();
    let mut started: HashMap<usize, Millis> = HashMap::new();
    let mut arrivals: HashMap<usize, Vec<(Millis, Millis)>> = HashMap::new();
    let mut claims: HashMap<(&str, &str), (u64, usize)> = HashMap::new();
    let mut terms: BTreeMap<(u8, [u32; 5]), usize> = BTreeMap::new();
    let mut newest: HashMap<(u8, usize), [u32; 5]> = HashMap::new();
    let mut owns: BTreeMap<u8, usize> = BTreeMap::new();
    let mut returned: BTreeSet<usize> = BTreeSet::new();
    let mut orphaned: BTreeMap<u8, (Millis, usize)> = BTreeMap::new();
    audit.owner_after = Some(0.0);
    for event in history {
        match event {
            Event::Born { at, job, class, zone } => {
                jobs.insert(*job, (*at, *class, *zone, None));
            }
            Event::Asked { at, connected, job, id, scheduler, deadline } => {
                let (job, scheduler, asked, deadline) = (*job, *scheduler, *at, *deadline);
                // Attempts can't come before, but the note of the write may.
                let entry = tries.entry(id).or_default();
                *entry =
                    Try { job, scheduler, connected: *connected, asked, deadline, ..std::mem::take(entry) };
            }
            Event::Crossed { at, id } => {
                let one = tries.entry(id).or_default();
                if !one.attempts.is_empty() {
                    let what = format!("{id}: its kept connection was ended after it had been read");
                    audit.breaches.push(Breach { rule: "answers", at: *at, what });
                }
            }
            Event::Ended { at, id, how } => tries.entry(id).or_default().ends.push((*at, how.clone())),
            Event::Settled { at, job, served } => {
                if let Some(job) = jobs.get_mut(job) {
                    job.3 = Some((*at, *served));
                }
            }
            Event::Reached { at, sent, id, scheduler, worker, work } => {
                let one = tries.entry(id).or_default();
                one.attempts.push((*at, *worker, None));
                one.senders.push((*sent, *scheduler));
                if let Some(&since) = told.get(&(*scheduler, *worker)) {
                    // Who was stopped or gone at the time knows it from its return on.
                    let known = (troubles[*scheduler].iter())
                        .filter(|(from, until, why)| why.is_some() && *from <= *sent && since <= *until)
                        .map(|&(_, until, _)| until)
                        .fold(since, f64::max);
                    if *sent > known + DRAIN_GRACE {
                        let late = sent - known;
                        let what = format!(
                            "scheduler {scheduler} sent {id} to worker {worker} {late:.0} ms after it was told"
                        );
                        audit.breaches.push(Breach { rule: "drains", at: *at, what });
                    }
                }
                if let Some(&since) = started.get(worker) {
                    let sent = arrivals.entry(*worker).or_default();
                    sent.push((*at, *work));
                    let from = (at - COLD_SPAN).max(since);
                    let work: Millis = sent.iter().filter(|(at, _)| *at > from).map(|(_, work)| work).sum();
                    let can = capacity(scenario, from - since, at - since);
                    // Two running times more: a first job must not count as a flood.
                    if work > COLD_MULTIPLE * can + 2.0 * scenario.run * scenario.slots as f64 {
                        let what = format!(
                            "worker {worker}, cold for {:.0} ms, was sent {work:.0} ms of work where it can do {can:.0}",
                            at - since
                        );
                        audit.breaches.push(Breach { rule: "cold", at: *at, what });
                        arrivals.remove(worker);
                    }
                }
            }
            Event::Ran { at, id, worker } => {
                runs.entry(tries.get(id.as_str()).map_or(usize::MAX, |t| t.job))
                    .or_default()
                    .push((*at, *worker));
            }
            Event::Dropped { .. } => audit.dropped += 1,
            Event::Returned { at, id, worker } => {
                let attempts = &mut tries.entry(id).or_default().attempts;
                if let Some(attempt) = attempts.iter_mut().rev().find(|a| a.1 == *worker && a.2.is_none()) {
                    attempt.2 = Some(*at);
                }
            }
            Event::Finished { id, result, .. } => {
                tries.entry(id).or_default().results.insert(result.clone());
            }
            Event::Told { at, scheduler, worker } => {
                told.entry((*scheduler, *worker)).or_insert(*at);
            }
            Event::Ready { worker, .. } => told.retain(|key, _| key.1 != *worker),
            Event::Started { at, worker } => {
                told.retain(|key, _| key.1 != *worker);
                started.insert(*worker, *at);
                arrivals.remove(worker);
            }
            Event::Message { at, scheduler, bytes } => {
                audit.messages += 1;
                audit.message_bytes += bytes;
                if *bytes > MESSAGE_MOST {
                    let what = format!("scheduler {scheduler} sent a datagram of {bytes} bytes");
                    audit.breaches.push(Breach { rule: "messages", at: *at, what });
                }
            }
            Event::Claim { at, claim, subject, term, by } => {
                let held = claims.entry((claim, subject)).or_insert((*term, *by));
                if *term < held.0 || (*term == held.0 && *by != held.1) {
                    let what = format!(
                        "{claim} of {subject}: {by} under term {term}, after {} under term {}",
                        held.1, held.0
                    );
                    audit.breaches.push(Breach { rule: "claims", at: *at, what });
                } else {
                    *held = (*term, *by);
                }
            }
            Event::Duty { at, duty, term, owner, deed, reached } => {
                let first = *terms.entry((*duty, *term)).or_insert(*owner);
                if first != *owner {
                    let what = format!("duty {duty}: {owner} under term {term:?}, which is {first}'s");
                    audit.breaches.push(Breach { rule: "claims", at: *at, what });
                }
                match reached {
                    Some(receiver) => {
                        let newest = newest.entry((*duty, *receiver)).or_insert(*term);
                        audit.late_deeds += usize::from(*deed && *term < *newest);
                        *newest = (*newest).max(*term);
                    }
                    None if *deed => audit.deeds += 1,
                    None => {
                        if owns.insert(*duty, *owner) != Some(*owner) {
                            audit.owners.push((*at, *duty, *owner));
                        }
                        // Named again: another, or the same number once it is back; one that was back before its
                        // lease was over has gone on.
                        let back = |old: &usize| old != owner || returned.contains(old);
                        if orphaned.get(duty).is_some_and(|(_, old)| back(old))
                            && let Some((since, old)) = orphaned.remove(duty)
                            && (old != *owner || at - since > LEASE)
                        {
                            audit.owner_after = audit.owner_after.map(|most| most.max(at - since));
                        }
                    }
                }
            }
            Event::Process { scheduler, turn: Turn::Up | Turn::Continued, .. } => {
                returned.insert(*scheduler);
            }
            Event::Process { at, scheduler, turn: Turn::Killed | Turn::Stopped | Turn::Terminated } => {
                returned.remove(scheduler);
                for (duty, owner) in owns.iter().filter(|owns| owns.1 == scheduler) {
                    orphaned.entry(*duty).or_insert((*at, *owner));
                }
            }
            Event::Unheard { .. } => {}
        }
    }
    if !orphaned.is_empty() {
        audit.owner_after = None;
    }
    in_hand(&mut audit, &jobs, &tries, &troubles);
    // A client that comes again may be told the end of its earlier try.
    let mut results: HashMap<usize, BTreeSet<&str>> = HashMap::new();
    for one in tries.values() {
        results.entry(one.job).or_default().extend(one.results.iter().map(String::as_str));
    }
    for (id, one) in &tries {
        let Some(&(_, class, ..)) = jobs.get(&one.job).filter(|_| one.deadline > 0.0) else { continue };
        audit.tries[class] += 1;
        judge_answers(&mut audit, id, one, &results[&one.job], class, &troubles[one.scheduler]);
        judge_repeats(&mut audit, id, one, class, scenario);
    }
    for (job, runs) in &runs {
        let Some(&(_, class, ..)) = jobs.get(job) else { continue };
        if runs.len() > 1 {
            audit.doubles[class] += 1;
            audit.wasted[class] += runs.len() - 1;
        }
    }
    // Up to 60 s to three digits, in microseconds.
    let histogram = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
    let mut times = [histogram(), histogram(), histogram()];
    for &(born, class, _, end) in jobs.values() {
        audit.jobs[class] += 1;
        if let Some((at, true)) = end {
            audit.served[class] += 1;
            times[class].iter_mut().for_each(|times| times.saturating_record(((at - born) * 1_000.0) as u64));
        }
    }
    for (latency, times) in audit.latency.iter_mut().zip(times.iter().flatten()) {
        *latency = [times.value_at_quantile(0.5), times.value_at_quantile(0.99), times.max()]
            .map(|micros| micros as f64 / 1_000.0);
    }
    over_time(&mut audit, &jobs, &tries, scenario);
    audit.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    audit
}

/// Work that a worker can do from one time after its start until another.
fn capacity(scenario: &Scenario, from: Millis, until: Millis) -> Millis {
    let (least, cold) = (scenario.cold_share, scenario.cold.max(1.0));
    // The ramp is a straight line up to `cold`; its integral from 0.
    let ramp = |t: Millis| {
        let t1 = t.min(cold);
        least * t1 + (1.0 - least) * t1 * t1 / (2.0 * cold) + (t - t1)
    };
    (ramp(until) - ramp(from)) * scenario.slots as f64
}

/// What became of jobs whose scheduler died, was stopped or told to end while it had them in hand.
fn in_hand(
    audit: &mut Audit,
    jobs: &BTreeMap<usize, Wanted>,
    tries: &BTreeMap<&str, Try>,
    troubles: &[Vec<Trouble>],
) {
    /// A job with less time left may end before anybody knows that its scheduler is gone.
    const TIME_LEFT: Millis = 2_000.0;
    let answer = |how: &How| matches!(how, How::Served(_) | How::Failed);
    let mut told: HashMap<usize, Millis> = HashMap::new();
    for one in tries.values() {
        for (at, _) in one.ends.iter().filter(|end| answer(&end.1) && end.0 <= one.deadline + LATE) {
            told.entry(one.job).and_modify(|first| *first = first.min(*at)).or_insert(*at);
        }
    }
    let mut seen = BTreeSet::new();
    for one in tries.values().filter(|one| one.deadline > 0.0) {
        let Some(&(_, class, ..)) = jobs.get(&one.job) else { continue };
        let others: BTreeSet<usize> =
            one.senders.iter().map(|sender| sender.1).filter(|&sender| sender != one.scheduler).collect();
        audit.adopted[class] += usize::from(!others.is_empty());
        audit.adopted_twice += usize::from(others.len() > 1);
        let last = one.ends.first().map_or(one.deadline, |end| end.0);
        // The fault that took it from its scheduler, if there was one.
        let died =
            troubles[one.scheduler].iter().filter(|(from, _, why)| why.is_some() && one.asked <= *from);
        let died = died.map(|trouble| trouble.0).fold(f64::INFINITY, f64::min);
        if let Some((sent, _)) =
            one.senders.iter().find(|sender| sender.1 != one.scheduler && sender.0 >= died)
        {
            audit.adopted_after = audit.adopted_after.max(sent - died);
        }
        if died <= last && died + TIME_LEFT <= one.deadline && seen.insert(one.job) {
            audit.in_hand_at_fault[class] += 1;
            audit.answered[class] += usize::from(told.contains_key(&one.job));
        }
    }
}

fn judge_answers(
    audit: &mut Audit,
    id: &str,
    one: &Try,
    results: &BTreeSet<&str>,
    class: usize,
    troubles: &[Trouble],
) {
    let scheduler = one.scheduler;
    let last = one.ends.last().map_or(one.deadline + LATE, |end| end.0);
    let (died, excused) = excuses(troubles, one, last);
    let mut breach = |at, what: String| {
        audit.breaches.push(Breach { rule: "answers", at, what: format!("{id} at {scheduler}: {what}") });
    };
    let Some((at, how)) = one.ends.first() else {
        return breach(one.deadline, "neither answered nor ended".into());
    };
    if one.ends.len() > 1 {
        breach(one.ends[1].0, format!("ended {} times", one.ends.len()));
    }
    match how {
        How::Served(result) => {
            if !results.contains(result.as_str()) {
                breach(*at, format!("served with {result:?}, which no worker made for it"));
            } else if *at > one.deadline + LATE && !excused {
                breach(*at, format!("served {:.0} ms after its deadline", at - one.deadline));
            }
        }
        How::Refused => audit.refused[class] += 1,
        How::Failed => audit.failed[class] += 1,
        How::Lost if died => audit.lost[class] += 1,
        How::Lost | How::GaveUp if excused => audit.unheard[class] += 1,
        How::Lost => breach(*at, "its connection ended without an answer".into()),
        How::GaveUp => breach(*at, "no answer by its deadline".into()),
    }
}

fn judge_repeats(audit: &mut Audit, id: &str, one: &Try, class: usize, scenario: &Scenario) {
    let Some(may_have) = one.attempts.iter().position(|attempt| attempt.2.is_none()) else { return };
    let (first, at_worker, _) = one.attempts[may_have];
    if let Some((at, _)) = one.ends.first().filter(|end| class != 0 && end.1 == How::Refused) {
        let what = format!("{id}, sent to worker {at_worker} at {first:.0}: refused, and may have run");
        audit.breaches.push(Breach { rule: "repeats", at: *at, what });
    }
    // What came while an attempt was out that was handed back later is a second copy all the same.
    let later = one.attempts.iter().enumerate().filter(|&(n, _)| n != may_have).map(|(_, attempt)| attempt);
    for &(at, worker, _) in later.filter(|attempt| attempt.0 > first) {
        let wrong = match class {
            1 => Some("must not be sent again, may have run"),
            2 if scenario.zone_of(worker) != scenario.zone_of(at_worker) => {
                Some("may have run in another zone")
            }
            2 if at > first + KEYED_WINDOW => Some("may have run, and its window is over"),
            _ => None,
        };
        if let Some(wrong) = wrong {
            let what = format!("{id}, sent to worker {at_worker} at {first:.0} and to {worker}: {wrong}");
            audit.breaches.push(Breach { rule: "repeats", at, what });
        }
    }
}

fn over_time(
    audit: &mut Audit,
    jobs: &BTreeMap<usize, Wanted>,
    tries: &BTreeMap<&str, Try>,
    scenario: &Scenario,
) {
    let bins = (scenario.length / BIN).ceil() as usize;
    let bin = |at: Millis| ((at.max(0.0) / BIN) as usize).min(bins.saturating_sub(1));
    let mut counts = vec![vec![(0_usize, 0_usize); bins]; scenario.zones.len()];
    for &(born, _, zone, end) in jobs.values() {
        let count = &mut counts[zone][bin(born)];
        count.0 += 1;
        count.1 += usize::from(end.is_some_and(|end| end.1));
    }
    let part = |(all, served): (usize, usize)| if all == 0 { 1.0 } else { served as f64 / all as f64 };
    audit.service = counts.iter().map(|zone| zone.iter().map(|&count| part(count)).collect()).collect();
    audit.in_hand = vec![vec![0; bins]; scenario.schedulers];
    for one in tries.values().filter(|one| one.deadline > 0.0) {
        let end = one.ends.first().map_or(one.deadline, |end| end.0);
        (bin(one.asked)..=bin(end)).for_each(|at| audit.in_hand[one.scheduler][at] += 1);
    }
    let whole: Vec<f64> = (0..bins)
        .map(|at| part(counts.iter().fold((0, 0), |sum, zone| (sum.0 + zone[at].0, sum.1 + zone[at].1))))
        .collect();
    let first = scenario.faults.iter().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
    if first.is_infinite() {
        audit.back_in = Some(0.0);
        return;
    }
    // From the beginning of the last fault: a death without a return is mended by the others.
    let last = scenario.faults.iter().map(|fault| fault.at).fold(0.0, f64::max);
    let calm = &whole[..(bin(first)).max(1).min(bins)];
    let calm = calm.iter().sum::<f64>() / calm.len().max(1) as f64;
    let worst = (bin(last)..bins).rev().find(|&at| whole[at] < 0.95 * calm);
    audit.back_in = match worst {
        None => Some(0.0),
        Some(at) if at + 1 < bins => Some((at + 1) as f64 * BIN - last),
        Some(_) => None,
    };
}

/// A run held against what its file expects.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// What fell short, a line each; none: passed.
    pub short: Vec<String>,
    /// Rules broken that the file expects, by name.
    pub known: BTreeSet<&'static str>,
}

impl Audit {
    /// All classes together.
    pub fn sum(of: &[usize; 3]) -> usize {
        of.iter().sum()
    }

    /// Part of the jobs served.
    pub fn served_part(&self) -> f64 {
        Audit::sum(&self.served) as f64 / Audit::sum(&self.jobs).max(1) as f64
    }

    /// Jobs run twice that must not be.
    pub fn harmful_doubles(&self) -> usize {
        self.doubles[1] + self.doubles[2]
    }

    /// Holds it against the file.
    pub fn verdict(&self, scenario: &Scenario) -> Verdict {
        let (expect, mut verdict) = (&scenario.expect, Verdict::default());
        for breach in &self.breaches {
            if expect.broken.iter().any(|rule| rule == breach.rule) {
                verdict.known.insert(breach.rule);
            } else {
                verdict.short.push(format!("rule {}: at {:.0} ms, {}", breach.rule, breach.at, breach.what));
            }
        }
        let mut hold = |wrong: bool, what: String| {
            if wrong {
                verdict.short.push(what);
            }
        };
        let (doubles, lost) = (self.harmful_doubles(), Audit::sum(&self.lost));
        if let Some(most) = expect.doubles {
            hold(doubles > most, format!("doubles: {doubles} jobs ran twice that must not, {most} at most"));
        }
        if let Some(most) = expect.lost {
            hold(lost > most, format!("lost: {lost} tries had no answer, {most} at most"));
        }
        if let Some(least) = expect.service {
            let served = self.served_part();
            hold(served < least, format!("service: {served:.3} of the jobs served, {least} at least"));
        }
        if let Some(most) = expect.owner_within {
            let after = self.owner_after.unwrap_or(f64::INFINITY);
            hold(self.owners.is_empty(), "owner-within-ms: no owner was ever named".into());
            hold(after > most, format!("owner-within-ms: {after:.0}, {most} at most"));
        }
        if let Some(least) = expect.adopted {
            let adopted = Audit::sum(&self.adopted);
            hold(adopted < least, format!("adopted: {adopted} jobs were taken over, {least} at least"));
        }
        if let Some(least) = expect.answered {
            let (held, told) = (Audit::sum(&self.in_hand_at_fault), Audit::sum(&self.answered));
            let part = told as f64 / held.max(1) as f64;
            let what =
                format!("answered: {told} of {held} jobs in hand at a fault, a part of {least} at least");
            hold(held == 0 || part < least, what);
        }
        if let Some(most) = expect.back_in {
            let back = self.back_in.unwrap_or(f64::INFINITY);
            hold(back > most, format!("back-in-ms: {back:.0}, {most} at most"));
        }
        verdict
    }
}
