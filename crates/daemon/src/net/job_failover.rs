//! Jobs that survive their scheduler, between the front, the core and the links: carries `handover`'s orders out, and
//! tells it what became of them.
//!
//! The front brings a covered job here instead of to the core; `handover` says when it starts, and the core gets it as
//! any other. Its dispatches pass here on their way to the backend: those that must be noted wait for it. Its answer
//! comes back here, for all clients that wait for it. Times are microseconds on the tier's clock.

use super::cluster::{Cluster, micros};
use super::event_loop::Millis;
use brackenledge_engine::{Answer, Arrival, ClientId, DispatchId, Request, Times};
use brackenledge_failover::{
    Brought, Command, Fate, Frame, Handover, Key, Message, Nonsense, ProcessId, Session, Settings, Waiter,
};
use brackenledge_policy::{Effect, JobId, NewJob, WorkerId};
use brackenledge_protocol::operations::CoverOptions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// The client of a job in the core that only we know of.
pub const NOBODY: ClientId = usize::MAX;
/// A peer that has not taken so much of what was said to it is behind, until half of it is gone.
const BEHIND: usize = 4 << 20;

/// What nobody waits for goes with what somebody does, or alone after so long, in microseconds: a tier of many has as many
/// links as members, and would send little on each (at 20 ms twelve took 2.0 times the processor time, not 1.4).
const COMPANY: u64 = 200_000;

/// What keepers keep of a job: all that its next holder needs.
#[derive(Serialize, Deserialize)]
struct Wanted {
    id: String,
    target: String,
    content_type: Option<String>,
    key: Option<String>,
    effort: Option<f64>,
    slots: f64,
    memory: f64,
    is_retry: bool,
    body: Vec<u8>,
}

/// How a class is covered.
#[derive(Clone, Copy)]
struct Care {
    effect: Effect,
    must: bool,
}

/// A dispatch that waits until its note is kept.
struct Held {
    worker: WorkerId,
    request: Rc<Request>,
    times: Times,
}

/// A dispatch that may leave now.
pub struct Leaving {
    /// Which.
    pub id: DispatchId,
    /// Where to.
    pub worker: WorkerId,
    /// What.
    pub request: Rc<Request>,
    /// Until when.
    pub times: Times,
}

/// See the module's page.
pub struct JobFailover {
    handover: Handover,
    me: ProcessId,
    zone: u32,
    care: Vec<Option<Care>>,
    sessions: BTreeMap<u16, Session>,
    jobs: HashMap<Key, JobId>,
    keys: HashMap<JobId, Key>,
    held: HashMap<DispatchId, Held>,
    clients: HashMap<Waiter, ClientId>,
    last_waiter: Waiter,
    /// When what waited for company was last sent on its way.
    hurried: u64,
    /// Frames that made no sense.
    pub nonsense: u64,
}

impl JobFailover {
    /// `classes`: names and effects, by number.
    pub fn new(
        options: &CoverOptions,
        me: ProcessId,
        zone: u32,
        classes: &[(String, Effect)],
    ) -> JobFailover {
        let care = |(name, effect): &(String, Effect)| {
            let must = options.refused.contains(name);
            options.covered.contains(name).then_some(Care { effect: *effect, must })
        };
        let micros = |time: Millis| (time * 1_000.0) as u64;
        let settings = Settings {
            copies: options.copies,
            records_most: options.records_most,
            bytes_most: options.bytes_most,
            keep: micros(options.keep),
            patience: micros(options.patience),
            ..Settings::default()
        };
        JobFailover {
            handover: Handover::new(me, zone, settings),
            me,
            zone,
            care: classes.iter().map(care).collect(),
            sessions: BTreeMap::new(),
            jobs: HashMap::new(),
            keys: HashMap::new(),
            held: HashMap::new(),
            clients: HashMap::new(),
            last_waiter: 0,
            hurried: 0,
            nonsense: 0,
        }
    }

    /// Takes over what the tier has agreed on since.
    pub fn sync(&mut self, cluster: &Cluster) {
        let now = micros();
        if cluster.me() != self.me {
            // We were replaced, and are back: to the others we are another process.
            self.me = cluster.me();
            self.handover.renew(self.me);
            self.sessions.clear();
        }
        let (term, members, stays) = cluster.roll();
        if term > self.handover.term() {
            self.handover.roll(now, term, members);
        }
        self.handover.stays(now, stays.unwrap_or(0));
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self) {
        let now = micros();
        self.handover.handle_timeout(now);
        let hurry = now >= self.hurried + COMPANY;
        if hurry {
            self.hurried = now;
        }
        for (&ordinal, session) in &mut self.sessions {
            if hurry {
                session.hurry();
            }
            let waiting = session.waiting();
            if !(BEHIND / 2..=BEHIND).contains(&waiting) {
                self.handover.lags(ordinal, waiting > BEHIND);
            }
        }
    }

    // Clients.

    /// Whether a job that a client brings is one to be covered.
    pub fn covers(&self, arrival: &Arrival) -> bool {
        let named = arrival.request.idempotency_key.is_some();
        named && self.care.get(arrival.job.class).is_some_and(Option::is_some)
    }

    /// A client brings a job, or comes again for it.
    pub fn arrive(&mut self, arrival: Arrival) -> Waiter {
        let Arrival { client, job, request } = arrival;
        self.last_waiter += 1;
        let waiter = self.last_waiter;
        self.clients.insert(waiter, client);
        let care = self.care.get(job.class).copied().flatten();
        let care = care.unwrap_or(Care { effect: Effect::Safe, must: false });
        let key = Key {
            class: job.class as u16,
            tenant: job.tenant as u16,
            name: Arc::from(request.idempotency_key.as_deref().unwrap_or_default()),
        };
        let wanted = Wanted {
            id: request.id,
            target: request.target,
            content_type: request.content_type,
            key: job.key,
            effort: job.effort,
            slots: job.slots,
            memory: job.memory,
            is_retry: job.is_retry,
            body: request.body,
        };
        let what = Arc::from(postcard::to_allocvec(&wanted).unwrap_or_default());
        let gated = care.effect != Effect::Safe;
        let now = micros();
        let until = now + (job.time_left * 1_000.0).max(0.0) as u64;
        self.handover.arrived(now, waiter, key, Brought { what, gated, must: care.must, until });
        waiter
    }

    /// A client has gone.
    pub fn client_gone(&mut self, waiter: Waiter) {
        if self.clients.remove(&waiter).is_some() {
            self.handover.gone(micros(), waiter);
        }
    }

    /// Where a client is that waits, once: it gets its answer now.
    pub fn client(&mut self, waiter: Waiter) -> Option<ClientId> {
        self.clients.remove(&waiter)
    }

    /// Clients that wait here and whose jobs the core does not hold.
    pub fn waiting(&self) -> usize {
        self.clients.len().saturating_sub(self.keys.len())
    }

    // The core.

    /// The job as the core takes it; `None`: these are no job's bytes.
    pub fn arrival(
        &self,
        key: &Key,
        what: &[u8],
        until: u64,
        ran: Option<(WorkerId, Millis)>,
    ) -> Option<Arrival> {
        let wanted: Wanted = postcard::from_bytes(what).ok()?;
        let effect = self.care.get(usize::from(key.class)).copied().flatten().map(|care| care.effect);
        Some(Arrival {
            client: NOBODY,
            job: NewJob {
                id: 0,
                class: usize::from(key.class),
                tenant: usize::from(key.tenant),
                key: wanted.key,
                time_left: until.saturating_sub(micros()) as Millis / 1_000.0,
                effort: wanted.effort,
                slots: wanted.slots,
                memory: wanted.memory,
                is_retry: wanted.is_retry,
                ran,
            },
            request: Request {
                id: wanted.id,
                target: wanted.target,
                idempotency_key: Some(key.name.as_ref().to_owned()),
                content_type: wanted.content_type,
                body: wanted.body,
                effect: effect.unwrap_or(Effect::Unsafe),
                watched: true,
            },
        })
    }

    /// The core has it under this number.
    pub fn taken(&mut self, key: Key, job: JobId) {
        self.keys.insert(job, key.clone());
        self.jobs.insert(key, job);
    }

    /// The core can't take it.
    pub fn not_taken(&mut self, key: &Key, fate: Fate) {
        self.handover.ended(micros(), key, fate);
    }

    /// The core's answer to a job of ours; `false`: it is none.
    pub fn answered(&mut self, job: JobId, answer: &Answer) -> bool {
        let Some(key) = self.keys.remove(&job) else { return false };
        self.jobs.remove(&key);
        let fate = match answer {
            Answer::Served(result) => Fate::Served(Arc::from(result.as_bytes())),
            Answer::Denied { retry_after } => Fate::Denied(retry_after.map(|wait| wait.ceil() as u32)),
            Answer::Failed => Fate::Failed,
        };
        self.handover.ended(micros(), &key, fate);
        true
    }

    /// A dispatch of the core's; `None`: it waits for its note, and it goes later or never.
    pub fn dispatch(&mut self, now: Millis, leaving: Leaving, worker: &str) -> Option<Leaving> {
        let Leaving { id, ref request, times, .. } = leaving;
        let Some(key) = self.keys.get(&id.0).filter(|_| request.watched) else { return Some(leaving) };
        let clock = micros();
        let over = clock + ((times.until - now) * 1_000.0).max(0.0) as u64;
        let key = key.clone();
        if self.handover.dispatch(clock, &key, id.1 as u32, worker, over) {
            return Some(leaving);
        }
        self.held.insert(id, Held { worker: leaving.worker, request: leaving.request, times });
        None
    }

    /// The note of a dispatch is kept.
    pub fn leaves(&mut self, key: &Key, attempt: u32) -> Option<Leaving> {
        let id = (*self.jobs.get(key)?, attempt as usize);
        let Held { worker, request, times } = self.held.remove(&id)?;
        Some(Leaving { id, worker, request, times })
    }

    /// A dispatch that waits never goes; its number, if it was one.
    pub fn moot(&mut self, key: &Key, attempt: u32) -> Option<DispatchId> {
        let id = (*self.jobs.get(key)?, attempt as usize);
        self.held.remove(&id).map(|_| id)
    }

    /// The core gives a dispatch up; whether it was waiting here.
    pub fn cancel(&mut self, id: DispatchId) -> bool {
        self.held.remove(&id).is_some()
    }

    /// A dispatch has ended.
    pub fn ended(&mut self, id: DispatchId, never_ran: bool) {
        self.held.remove(&id);
        if let Some(key) = self.keys.get(&id.0).filter(|_| never_ran) {
            self.handover.never_ran(micros(), &key.clone(), id.1 as u32);
        }
    }

    /// A job is another's: its number in the core, and its dispatches that wait here.
    pub fn close(&mut self, key: &Key) -> Option<(JobId, Vec<DispatchId>)> {
        let job = self.jobs.remove(key)?;
        self.keys.remove(&job);
        let waiting: Vec<DispatchId> = self.held.keys().copied().filter(|id| id.0 == job).collect();
        waiting.iter().for_each(|id| drop(self.held.remove(id)));
        Some((job, waiting))
    }

    /// What is to be done next.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.handover.poll_command()
    }

    /// A planned end: what was not sent is given to others.
    pub fn yield_all(&mut self) -> usize {
        self.handover.yield_all(micros())
    }

    // Links.

    /// Our first word on a connection.
    pub fn hello(&self) -> Frame {
        Frame::Hello { from: self.me, zone: self.zone }
    }

    /// Who we are.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// A process has said who it is on a connection; our second word there. `None`: not on this one.
    pub fn greet(&mut self, from: ProcessId, zone: u32) -> Option<Frame> {
        let session = self.sessions.entry(from.ordinal).or_insert_with(|| Session::new(from));
        if session.peer().incarnation > from.incarnation {
            return None;
        }
        if session.peer() != from {
            *session = Session::new(from);
        }
        self.handover.zone(from.ordinal, zone);
        Some(session.begin())
    }

    /// A frame came from who has said who it is; whether it makes sense. `None`: another process has that number now.
    pub fn frame(&mut self, from: ProcessId, frame: Frame) -> Option<bool> {
        let session = self.sessions.get_mut(&from.ordinal).filter(|session| session.peer() == from)?;
        match session.take(frame) {
            Ok(Some(message)) => self.handover.handle_message(micros(), from, message),
            Ok(None) => {}
            Err(Nonsense) => return Some(false),
        }
        Some(true)
    }

    /// A connection is gone.
    pub fn link_ended(&mut self, peer: ProcessId) {
        if let Some(session) = self.sessions.get_mut(&peer.ordinal).filter(|session| session.peer() == peer) {
            session.ended();
        }
    }

    /// Says something to another process, now or once there is a link.
    pub fn say(&mut self, to: ProcessId, message: Message, soon: bool) {
        let session = self.sessions.entry(to.ordinal).or_insert_with(|| Session::new(to));
        if session.peer().incarnation < to.incarnation {
            // Whoever was there before is gone.
            *session = Session::new(to);
        }
        if session.peer() == to {
            session.say(message, soon);
        }
    }

    /// The next frame for a peer.
    pub fn next_frame(&mut self, peer: ProcessId) -> Option<Frame> {
        self.sessions.get_mut(&peer.ordinal).filter(|session| session.peer() == peer)?.next_frame()
    }

    /// Nothing waits for company any more; whether all has been given to the links that are up.
    pub fn last_words(&mut self) -> bool {
        self.sessions.values_mut().for_each(Session::hurry);
        self.sessions.values().all(Session::sent)
    }

    /// For operators: records by class and state, and counts since the start.
    pub fn lines(&self, classes: &[String]) -> Vec<String> {
        let mut lines = Vec::new();
        for (class, name) in classes.iter().enumerate().filter(|(at, _)| self.care[*at].is_some()) {
            let [held, waited, open, ended] = self.handover.records(class as u16);
            lines.push(format!("handover.held.{name}={held}"));
            lines.push(format!("handover.waited_for.{name}={waited}"));
            lines.push(format!("handover.kept_open.{name}={open}"));
            lines.push(format!("handover.kept_ended.{name}={ended}"));
        }
        let counts = self.handover.counts();
        let settled = u8::from(self.handover.settled(micros()));
        let waiting: usize = self.sessions.values().map(Session::waiting).sum();
        let said = [
            ("settled", u64::from(settled)),
            ("bytes", self.handover.bytes() as u64),
            ("bytes_unsaid", waiting as u64),
            ("adopted", counts.adopted),
            ("adopted_at_risk", counts.adopted_at_risk),
            ("joined", counts.joined),
            ("from_record", counts.from_record),
            ("refused", counts.refused),
            ("uncovered", counts.uncovered),
            ("lost", counts.lost),
            ("yielded", counts.yielded),
            ("stale", counts.stale),
            ("nonsense", self.nonsense),
        ];
        lines.extend(said.into_iter().map(|(name, count)| format!("handover.{name}={count}")));
        lines
    }
}

#[cfg(test)]
mod tests;
