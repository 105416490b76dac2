//! Cluster membership: which schedulers are alive, suspect or down, over messages that may be lost,
//! duplicated, delayed or reordered.
//!
//! **Invariants.** No input bytes cause a panic. No message is longer than [`MAX_MESSAGE_BYTES`]. A process
//! is identified by its ordinal and its incarnation: a restarted scheduler is another process, and of two
//! processes with the same ordinal the older one is down. A running process that is suspect refutes the
//! suspicion, and one that was wrongly declared down rejoins by itself.
//!
//! The protocol is SWIM with suspicion (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent
//! infection-style process group membership protocol", 2002), implemented by the crate `foca`. This crate
//! adds process identities, intervals and timeouts for each cluster size, counts, and an interface without
//! I/O: [`Membership::handle_message`] and [`Membership::handle_timeout`] take the inputs,
//! [`Membership::poll_command`] returns the outputs. It reads no clock.
//!
//! **Not guaranteed.** Members need not agree: two schedulers may disagree on a third, indefinitely while a
//! link is partitioned one way. Actions that must not be done twice are therefore guarded by the crate
//! `leases`, for which membership is only a hint. Messages are not authenticated: peers are identified by
//! their addresses alone.
//!
//! | message | if lost | if duplicated | if late |
//! | --- | --- | --- | --- |
//! | probe or answer | probed through six others, then suspect | answered again | ignored by probe number |
//! | update on a member | sent again, also by others | ignored by incarnation | the same |
//! | announcement | repeated until a member answers | answered again | answered |
//! | leave | detected by probes | no change | no change |

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

/// Milliseconds on the caller's clock, which must also advance while the process is stopped.
pub type Millis = f64;

/// Maximum length of a message in bytes: the platform's datagrams carry 256 bytes, of which the first states
/// the kind of message.
pub const MAX_MESSAGE_BYTES: usize = 255;

/// State of a process, as this scheduler sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The process answers probes.
    Alive,
    /// A probe failed; the process may still refute the suspicion.
    Suspect,
    /// The process did not refute the suspicion in time, or has left.
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

/// A command or notification for the caller.
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
    /// A process that was reported up is down or has left.
    MemberDown(ProcessId),
    /// A newer process with our own ordinal exists. This one must release the leases that it holds.
    Superseded,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that are malformed, too long, or rejected by foca for another reason.
    pub malformed: u64,
    /// Messages received, malformed ones included.
    pub received: u64,
    /// How many times this process rejoined after others had wrongly declared it down.
    pub false_positives: u64,
}

/// The members of the cluster, as one scheduler sees them.
pub struct Membership {
    foca: Foca<MemberIdentity, foca::PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberIdentity>,
    timers: TimerQueue,
    commands: VecDeque<Command>,
    me: ProcessId,
    /// Ordinals of all other schedulers in the settings.
    seeds: Vec<u16>,
    /// Index of the first seed to consider for the next announcement.
    next_seed: usize,
    announce_at: Millis,
    /// Processes that were reported with [`Command::MemberUp`] and not yet with [`Command::MemberDown`].
    reported_up: BTreeSet<ProcessId>,
    /// Whether no other active member is known.
    is_alone: bool,
    has_left: bool,
    is_superseded: bool,
    counts: Counts,
}

/// Interval at which a process that knows no other member announces itself, to one seed after another, until
/// one answers.
const JOIN_ANNOUNCE_INTERVAL: Millis = 200.0;
/// Interval of later announcements, to seeds that are not members. They join parts of a cluster that were
/// started separately or partitioned, where no member of one part knows any member of the other.
const MISSING_SEED_ANNOUNCE_INTERVAL: Millis = 1_000.0;

impl Membership {
    /// A process that has just started and knows no other. It announces itself to `seeds`, the ordinals of
    /// all other schedulers, in turn.
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
            // Each process begins with a different seed, so that they do not all announce to the same one.
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

    /// The identity of this process.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// All other known processes and their states, down ones included.
    pub fn peers(&self) -> impl Iterator<Item = (ProcessId, MemberState)> {
        self.foca.iter_membership_state().map(|member| (member.id().process, member.state().into()))
    }

    /// All processes that are alive or suspect, including this one unless it has left.
    pub fn active_members(&self) -> impl Iterator<Item = ProcessId> {
        let own = (!self.has_left).then_some(self.me);
        self.foca.iter_members().map(|member| member.id().process).chain(own)
    }

    /// When to call [`Membership::handle_timeout`] next; infinity if there is nothing to wait for.
    pub fn next_timeout(&self) -> Millis {
        let announces = !self.has_left && !self.seeds.is_empty();
        let announce_at = if announces { self.announce_at } else { f64::INFINITY };
        self.timers.next_due().map_or(announce_at, |due_at| due_at.min(announce_at))
    }

    /// Handles the timers that are due, and announces this process if that is due.
    pub fn handle_timeout(&mut self, now: Millis) {
        while let Some(timer) = self.timers.pop_due(now) {
            // foca returns an error for a timer that is obsolete; there is nothing to do then.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now);
        }
        if now >= self.announce_at && !self.has_left {
            self.announce_to_missing_seed(now);
        }
    }

    /// Announces this process to the next seed that is not a member.
    fn announce_to_missing_seed(&mut self, now: Millis) {
        let interval = if self.is_alone { JOIN_ANNOUNCE_INTERVAL } else { MISSING_SEED_ANNOUNCE_INTERVAL };
        self.announce_at = now + interval;
        let active: BTreeSet<u16> = self.active_members().map(|process| process.ordinal).collect();
        let seeds_in_turn = self.seeds.iter().cycle().skip(self.next_seed).take(self.seeds.len());
        let missing = seeds_in_turn.enumerate().find(|(_, seed)| !active.contains(seed));
        if let Some((skipped, &ordinal)) = missing {
            self.next_seed = (self.next_seed + skipped + 1) % self.seeds.len();
            let seed = MemberIdentity::unknown_incarnation(ordinal);
            // Fails only if the message can't be encoded. Announcements are repeated in any case.
            let _ = self.foca.announce(seed, &mut self.runtime);
            self.drain_runtime(now);
        }
    }

    /// Handles a message and returns whether it is well-formed. After [`Membership::leave`] messages are
    /// ignored and the result is true.
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
            // If a newer process with our ordinal exists, others may send our own messages back to us.
            Ok(()) | Err(foca::Error::DataFromOurselves) => true,
            Err(_) => false,
        };
        self.counts.malformed += u64::from(!is_well_formed);
        self.drain_runtime(now);
        is_well_formed
    }

    /// Whether a message is addressed to a newer process with our ordinal. Two such processes may share an
    /// address, so that each receives some of the other's messages. Announcements do not count, since they
    /// may be addressed to a process that is down.
    pub fn is_for_newer_incarnation(&self, bytes: &[u8]) -> bool {
        let header: Option<foca::Header<MemberIdentity>> = foca::PostcardCodec.decode_header(bytes).ok();
        header.is_some_and(|header| {
            let receiver = header.dst.process;
            let is_announcement = header.message == foca::Message::Announce;
            let is_newer = receiver.ordinal == self.me.ordinal && receiver.incarnation > self.me.incarnation;
            is_newer && !is_announcement
        })
    }

    /// Tells some other members that this process leaves. After that it sends no more messages.
    pub fn leave(&mut self, now: Millis) {
        if !std::mem::replace(&mut self.has_left, true) {
            // If this fails, the others detect the leave by their probes.
            let _ = self.foca.leave_cluster(&mut self.runtime);
            self.drain_runtime(now);
            self.timers.clear();
        }
    }

    /// The next command; `None` if there is nothing to do until the next input.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Reports a process as up, unless it is reported up already.
    fn report_up(&mut self, process: ProcessId) {
        if self.reported_up.insert(process) {
            self.commands.push_back(Command::MemberUp(process));
        }
    }

    /// Reports a process as down if it was reported up.
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
            // A renewed identity of the same process is not a change of membership.
            OwnedNotification::Rename(before, after) if before.process != after.process => {
                self.report_down(before.process);
                self.report_up(after.process);
            }
            OwnedNotification::Rejoin(_) => self.counts.false_positives += 1,
            OwnedNotification::Idle => {
                self.is_alone = true;
                self.announce_at = now;
            }
            OwnedNotification::Active => self.is_alone = false,
            _ => {}
        }
    }
}
