//! Which of a cluster's schedulers are alive, suspect or down, by messages that may be lost, duplicated, late or
//! reordered.
//!
//! **Invariants.** Never a panic on any bytes. No message over [`MAX_MESSAGE_BYTES`]. A process is identified by its
//! ordinal and its incarnation: one that has restarted is another process, and of two under one ordinal the older one is
//! down. A living process that is suspect refutes the suspicion, and one that was declared down by mistake rejoins by
//! itself.
//!
//! SWIM with suspicion (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process group
//! membership protocol", 2002), by the crate `foca`. This crate adds the identity of a process, intervals and timeouts by
//! cluster size, counts, and one interface: [`Membership::handle_message`] and [`Membership::handle_timeout`] in,
//! [`Membership::poll_command`] out. No I/O, no clock.
//!
//! **What it does not promise.** That all agree at any time: two schedulers may disagree on a third, for ever while a link
//! is partitioned one way. What must not be done twice is decided by `leases`, for which this is only evidence. Nor that
//! a message comes from whom it says: peers are known by their addresses alone.
//!
//! | message | lost | repeated | late |
//! | --- | --- | --- | --- |
//! | probe, and its answer | sent again through six others, then the target is suspect | answered again | ignored: it carries a number |
//! | update on a member | sent by others, and again | no change: it carries an incarnation | the same |
//! | announcement of a newcomer | repeated until a member answers | answered again | the same |
//! | last message of a process that leaves | found out by probes | no change | the same |

mod config;
mod identity;
mod timers;

pub use config::SwimConfig;
pub use identity::ProcessId;

use foca::{AccumulatingRuntime, Codec, Foca, OwnedNotification, State};
use identity::MemberIdentity;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{BTreeSet, VecDeque};
use timers::TimerQueue;

/// Milliseconds on the caller's clock, which counts the time that a process was stopped.
pub type Millis = f64;

/// The longest message, in bytes: one less than the platform's datagram, for the byte that says which part it is for.
pub const MAX_MESSAGE_BYTES: usize = 255;

/// What is believed of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// A probe of it failed; it may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or has left.
    Down,
}

impl From<State> for MemberState {
    fn from(state: State) -> MemberState {
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down => MemberState::Down,
        }
    }
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a message to the scheduler of this ordinal.
    Send {
        /// The receiver's ordinal.
        to: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A process has become a member.
    MemberUp(ProcessId),
    /// A process is down, or has left.
    MemberDown(ProcessId),
    /// A newer process of our own ordinal exists: this one is to release what it holds.
    Superseded,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that are malformed, too long, or not for us.
    pub malformed: u64,
    /// Messages received, malformed ones included.
    pub received: u64,
    /// Times that this process rejoined after others had declared it down by mistake.
    pub false_deaths: u64,
}

/// One scheduler's view of the cluster's members.
pub struct Membership {
    foca: Foca<MemberIdentity, foca::PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberIdentity>,
    timers: TimerQueue,
    commands: VecDeque<Command>,
    me: ProcessId,
    /// Ordinals of the others in the settings.
    seeds: Vec<u16>,
    /// Index of the seed that is announced to next.
    next_seed: usize,
    announce_at: Millis,
    /// Processes that the caller was told are up.
    reported_up: BTreeSet<ProcessId>,
    /// Whether no other member is known.
    is_alone: bool,
    has_left: bool,
    is_superseded: bool,
    counts: Counts,
}

/// A newcomer announces itself to one seed after another this often, until one answers.
const JOIN_ANNOUNCE_INTERVAL: Millis = 200.0;
/// Later, a seed that is no member is announced to this often: where parts of a cluster were started apart or partitioned,
/// no member of one knows any of the other.
const MISSING_SEED_ANNOUNCE_INTERVAL: Millis = 1_000.0;

impl Membership {
    /// A process that has just started and knows no other. `seeds`: the ordinals of the others, announced to in turn.
    pub fn new(
        now: Millis,
        me: ProcessId,
        seeds: Vec<u16>,
        config: &SwimConfig,
        random_seed: u64,
    ) -> Membership {
        let schedulers = seeds.len() + 1;
        let rng = ChaCha8Rng::seed_from_u64(random_seed ^ me.incarnation);
        let identity = MemberIdentity::new(me);
        Membership {
            foca: Foca::new(identity, config.to_foca(schedulers), rng, foca::PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: TimerQueue::default(),
            commands: VecDeque::new(),
            me,
            // Different processes begin with different seeds.
            next_seed: usize::from(me.ordinal) % schedulers.max(2),
            seeds,
            announce_at: now,
            reported_up: BTreeSet::new(),
            is_alone: true,
            has_left: false,
            is_superseded: false,
            counts: Counts::default(),
        }
    }

    /// This process.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// All other processes that are known, and their states.
    pub fn peers(&self) -> impl Iterator<Item = (ProcessId, MemberState)> {
        self.foca.iter_membership_state().map(|member| (member.id().process, member.state().into()))
    }

    /// All processes that are alive or suspect, this one included unless it has left.
    pub fn active_members(&self) -> impl Iterator<Item = ProcessId> {
        let own = (!self.has_left).then_some(self.me);
        self.foca.iter_members().map(|member| member.id().process).chain(own)
    }

    /// When [`Membership::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Millis {
        let announces = !self.has_left && !self.seeds.is_empty();
        let announce_at = if announces { self.announce_at } else { f64::INFINITY };
        self.timers.next_due().map_or(announce_at, |due_at| due_at.min(announce_at))
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Millis) {
        while let Some(timer) = self.timers.pop_due(now) {
            // foca reports timers that have become obsolete as errors.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now);
        }
        if now >= self.announce_at && !self.has_left {
            self.announce_to_missing_seed(now);
        }
    }

    /// Announces this process to the next seed that is no member.
    fn announce_to_missing_seed(&mut self, now: Millis) {
        let interval = if self.is_alone { JOIN_ANNOUNCE_INTERVAL } else { MISSING_SEED_ANNOUNCE_INTERVAL };
        self.announce_at = now + interval;
        let active: BTreeSet<u16> = self.active_members().map(|process| process.ordinal).collect();
        let seeds_in_turn = self.seeds.iter().cycle().skip(self.next_seed).take(self.seeds.len());
        let missing = seeds_in_turn.enumerate().find(|(_, seed)| !active.contains(seed));
        if let Some((skipped, &ordinal)) = missing {
            self.next_seed = (self.next_seed + skipped + 1) % self.seeds.len();
            let seed = MemberIdentity::unknown_incarnation(ordinal);
            // It fails only if the message can't be encoded, and is repeated in any case.
            let _ = self.foca.announce(seed, &mut self.runtime);
            self.drain_runtime(now);
        }
    }

    /// Handles a message. Returns whether it is well-formed; a process that has left ignores all, and returns true.
    pub fn handle_message(&mut self, now: Millis, bytes: &[u8]) -> bool {
        self.counts.received += 1;
        if self.has_left {
            return true;
        }
        if !self.is_superseded && self.is_for_newer_incarnation(bytes) {
            self.is_superseded = true;
            self.commands.push_back(Command::Superseded);
        }
        let is_well_formed = match self.foca.handle_data(bytes, &mut self.runtime) {
            // Where a newer process of our ordinal exists, others may pass a message of our own back to us.
            Ok(()) | Err(foca::Error::DataFromOurselves) => true,
            Err(_) => false,
        };
        self.counts.malformed += u64::from(!is_well_formed);
        self.drain_runtime(now);
        is_well_formed
    }

    /// Whether a message is addressed to a newer process of our ordinal: two may share an address, and each receives some
    /// of the other's messages. An announcement does not count, since it may be addressed to a process that is down.
    pub fn is_for_newer_incarnation(&self, bytes: &[u8]) -> bool {
        let header: Option<foca::Header<MemberIdentity>> = foca::PostcardCodec.decode_header(bytes).ok();
        header.is_some_and(|header| {
            let receiver = header.dst.process;
            let is_announcement = header.message == foca::Message::Announce;
            let is_newer = receiver.ordinal == self.me.ordinal && receiver.incarnation > self.me.incarnation;
            is_newer && !is_announcement
        })
    }

    /// Announces to some others that this process leaves. After that it sends nothing more.
    pub fn leave(&mut self, now: Millis) {
        if !std::mem::replace(&mut self.has_left, true) {
            // If it can't be said, the others find out by their probes.
            let _ = self.foca.leave_cluster(&mut self.runtime);
            self.drain_runtime(now);
            self.timers.clear();
        }
    }

    /// What the caller is to do next.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Reports a process as up, unless it was.
    fn report_up(&mut self, process: ProcessId) {
        if self.reported_up.insert(process) {
            self.commands.push_back(Command::MemberUp(process));
        }
    }

    /// Reports a process as down, if it was reported up.
    fn report_down(&mut self, process: ProcessId) {
        if self.reported_up.remove(&process) {
            self.commands.push_back(Command::MemberDown(process));
        }
    }

    /// Turns foca's output into commands and scheduled timers.
    fn drain_runtime(&mut self, now: Millis) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.commands.push_back(Command::Send { to: to.process.ordinal, bytes: bytes.to_vec() });
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            self.timers.schedule(now + delay.as_secs_f64() * 1_000.0, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.on_notification(now, notification);
        }
    }

    fn on_notification(&mut self, now: Millis, notification: OwnedNotification<MemberIdentity>) {
        match notification {
            OwnedNotification::MemberUp(member) => self.report_up(member.process),
            OwnedNotification::MemberDown(member) => self.report_down(member.process),
            // The renewed identity of the same process is no change.
            OwnedNotification::Rename(before, after) if before.process != after.process => {
                self.report_down(before.process);
                self.report_up(after.process);
            }
            OwnedNotification::Rejoin(_) => self.counts.false_deaths += 1,
            OwnedNotification::Idle => {
                self.is_alone = true;
                self.announce_at = now;
            }
            OwnedNotification::Active => self.is_alone = false,
            _ => {}
        }
    }
}
