//! Who of a tier's schedulers is alive, suspected or gone, by messages that may be lost, doubled, late or overtaken.
//!
//! SWIM with suspicion (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process group
//! membership protocol", 2002), by the crate `foca`; here are the identity of a process, the times by tier size, the
//! count of what made no sense, and one door: [`Membership::handle_message`] and [`Membership::handle_timeout`] in,
//! [`Membership::poll_command`] out. No I/O, no clock.
//!
//! **What it promises.** Never a panic on any bytes. No message over [`MESSAGE_MOST`]. A process is known by its number
//! and its start: one that has restarted is another process, and the older one of two under one number is gone.
//! A living process that is suspected refutes it, and one that was given up by mistake comes back by itself.
//!
//! **What it does not promise.** That all agree at any time: two schedulers may believe otherwise of a third, for ever
//! while a link is cut one way. Whatever must not be done twice is decided in `ownership`, for which this is only
//! evidence. Nor that a message comes from whom it says: peers are known by their addresses alone.
//!
//! | message | lost | repeated | late |
//! | --- | --- | --- | --- |
//! | probe, and its answer | asked again through six others, then suspected | answered again | ignored: it carries a number |
//! | news of a member | told by others, and again | no change: it carries an incarnation | the same |
//! | announcement of a newcomer | repeated until somebody answers | answered again | the same |
//! | last word of who leaves | found out by probes | no change | the same |

use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Identity, OwnedNotification, PeriodicParams, State, Timer,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Milliseconds on the caller's clock, which counts the time that a process was stopped.
pub type Millis = f64;

/// The longest message, in bytes: one less than the platform's datagram, for the byte that says whose it is.
pub const MESSAGE_MOST: usize = 255;

/// A process: a scheduler's number, and when it started in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Its number in the settings.
    pub ordinal: u16,
    /// Its start; a later one under the same number replaces it.
    pub incarnation: u64,
}

/// A process under the name by which it is known now: one that was given up by mistake takes the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Known {
    process: ProcessId,
    bump: u16,
}

impl Identity for Known {
    type Addr = u16;

    fn renew(&self) -> Option<Known> {
        Some(Known { bump: self.bump.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> u16 {
        self.process.ordinal
    }

    fn win_addr_conflict(&self, other: &Known) -> bool {
        (self.process.incarnation, self.bump) > (other.process.incarnation, other.bump)
    }
}

/// What is believed of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It answers.
    Alive,
    /// Somebody has asked it in vain; it may still answer.
    Suspected,
    /// It has not.
    Gone,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A message for the scheduler of this number.
    Send {
        /// To whom.
        to: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A process is there.
    Up(ProcessId),
    /// A process is gone, or has left.
    Down(ProcessId),
    /// Another process of our own number is newer: this one is to give up what it holds.
    Replaced,
}

/// Times, each in milliseconds by the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Each process asks one other so often.
    pub probe: Millis,
    /// An answer takes so long at most; then three others are asked to ask.
    pub answer: Millis,
    /// A suspected process has so long to refute it.
    pub suspect: Millis,
    /// News are told to three others so often.
    pub gossip: Millis,
    /// All that is known is asked for so often, from one other, so that parts of a tier find together again.
    pub announce: Millis,
    /// Who is gone is remembered for so long, so that late news do not bring it back.
    pub forget: Millis,
}

impl Times {
    /// For a tier of so many. What is suspected must hear of it and its answer must come round before it is given up:
    /// both travel by gossip, in rounds that grow with the logarithm of the number; at 30% loss a round reaches half
    /// as many. Figures: docs/measurements/leases.md.
    pub fn for_tier(schedulers: usize) -> Times {
        let rounds = (schedulers.max(2) as f64).log2();
        Times {
            probe: 400.0,
            answer: 150.0,
            suspect: 3_000.0 + 800.0 * rounds,
            gossip: 200.0,
            announce: 2_000.0,
            forget: 60_000.0,
        }
    }
}

/// Members told at once.
const SOME: NonZeroUsize = NonZeroUsize::new(3).expect("three");
/// Members asked to ask. At 30% loss a way there and back through another works one time in four: of three all fail
/// so often that a tier of 40 should have some 22 suspicions a second (reckoned), and has 24 false deaths an hour; of
/// six, none in an hour (measured).
const ASKED: NonZeroUsize = NonZeroUsize::new(6).expect("six");

fn span(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

fn config(times: &Times, schedulers: usize) -> Config {
    let every = |ms| Some(PeriodicParams { frequency: span(ms), num_members: SOME });
    let one = |ms| Some(PeriodicParams { frequency: span(ms), num_members: NonZeroUsize::MIN });
    // Told so often that news are on the way for as long as a suspicion lasts: three are told each round, and so small
    // tiers used up ten tellings in 0.7 s (66 false deaths an hour in a tier of four at 30% loss).
    let told = 40 + 6 * (schedulers.max(2) as f64).log2().ceil() as u8;
    Config {
        probe_period: span(times.probe),
        probe_rtt: span(times.answer),
        num_indirect_probes: ASKED,
        max_transmissions: NonZeroU8::new(told).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(times.suspect),
        remove_down_after: Some(span(times.forget)),
        max_packet_size: NonZeroUsize::new(MESSAGE_MOST).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: one(times.announce),
        periodic_announce_to_down_members: one(2.0 * times.announce),
        periodic_gossip: every(times.gossip),
    }
}

struct Due {
    at: Millis,
    serial: u64,
    timer: Timer<Known>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.serial == other.serial
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.serial.cmp(&other.serial))
    }
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that made no sense: malformed, foreign, too long.
    pub nonsense: u64,
    /// Messages heard, those included.
    pub heard: u64,
    /// Times that we had to come back after having been given up by mistake.
    pub returned: u64,
}

/// One scheduler's view of the tier.
pub struct Membership {
    foca: Foca<Known, foca::PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Known>,
    timers: BinaryHeap<Reverse<Due>>,
    serial: u64,
    commands: VecDeque<Command>,
    me: ProcessId,
    seeds: Vec<u16>,
    next_seed: usize,
    announce_at: Millis,
    /// Those told to be up.
    up: BTreeSet<ProcessId>,
    alone: bool,
    left: bool,
    replaced: bool,
    counts: Counts,
}

/// A newcomer asks one seed after another this often until one answers.
const ASK_SEED: Millis = 200.0;
/// Later one of the seeds that are not there is asked this often: members that found together in parts, or were cut
/// in parts, know nobody of the other part who would tell them.
const ASK_MISSING: Millis = 1_000.0;

impl Membership {
    /// A process that has just started and knows nobody. `seeds`: the numbers of others, asked in turn.
    pub fn new(now: Millis, me: ProcessId, seeds: Vec<u16>, times: &Times, seed: u64) -> Membership {
        let schedulers = seeds.len() + 1;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ me.incarnation);
        let known = Known { process: me, bump: 0 };
        Membership {
            foca: Foca::new(known, config(times, schedulers), rng, foca::PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            serial: 0,
            commands: VecDeque::new(),
            me,
            // Not all the same one first.
            next_seed: usize::from(me.ordinal) % schedulers.max(2),
            seeds,
            announce_at: now,
            up: BTreeSet::new(),
            alone: true,
            left: false,
            replaced: false,
            counts: Counts::default(),
        }
    }

    /// Who we are.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// All that are known, and what is believed of them; not ourselves.
    pub fn others(&self) -> impl Iterator<Item = (ProcessId, Standing)> {
        self.foca.iter_membership_state().map(|member| {
            let standing = match member.state() {
                State::Alive => Standing::Alive,
                State::Suspect => Standing::Suspected,
                State::Down => Standing::Gone,
            };
            (member.id().process, standing)
        })
    }

    /// All that are not gone, ourselves included unless we have left.
    pub fn alive(&self) -> impl Iterator<Item = ProcessId> {
        let own = (!self.left).then_some(self.me);
        self.foca.iter_members().map(|member| member.id().process).chain(own)
    }

    /// When [`Membership::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Millis {
        let asks = if self.left || self.seeds.is_empty() { f64::INFINITY } else { self.announce_at };
        self.timers.peek().map_or(asks, |due| due.0.at.min(asks))
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Millis) {
        while let Some(Reverse(due)) = self.timers.peek()
            && due.at <= now
        {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // A timer may be of no use any more; that is no matter.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.settle(now);
        }
        if now >= self.announce_at && !self.left {
            self.announce_at = now + if self.alone { ASK_SEED } else { ASK_MISSING };
            let here: BTreeSet<u16> = self.alive().map(|process| process.ordinal).collect();
            let after = self.seeds.iter().cycle().skip(self.next_seed).take(self.seeds.len());
            let missing = after.enumerate().find(|(_, seed)| !here.contains(seed));
            if let Some((passed, &ordinal)) = missing {
                self.next_seed = (self.next_seed + passed + 1) % self.seeds.len();
                let to = Known { process: ProcessId { ordinal, incarnation: 0 }, bump: 0 };
                let _ = self.foca.announce(to, &mut self.runtime);
                self.settle(now);
            }
        }
    }

    /// Takes a message in; whether it made sense.
    pub fn handle_message(&mut self, now: Millis, bytes: &[u8]) -> bool {
        self.counts.heard += 1;
        if self.left {
            return true;
        }
        if !self.replaced && self.for_newer(bytes) {
            self.replaced = true;
            self.commands.push_back(Command::Replaced);
        }
        let sense = match self.foca.handle_data(bytes, &mut self.runtime) {
            // A newer process of our number tells others, and they tell us; a message of our own is no news.
            Ok(()) | Err(foca::Error::DataFromOurselves) => true,
            Err(_) => false,
        };
        self.counts.nonsense += u64::from(!sense);
        self.settle(now);
        sense
    }

    /// Whether a message is meant for a newer process of our number: two may share an address, and each gets some of
    /// what is meant for the other. A call for somebody who may be gone does not count.
    pub fn for_newer(&self, bytes: &[u8]) -> bool {
        let header: Option<foca::Header<Known>> = foca::PostcardCodec.decode_header(bytes).ok();
        header.is_some_and(|header| {
            let meant = header.dst.process;
            let call = header.message == foca::Message::Announce;
            !call && meant.ordinal == self.me.ordinal && meant.incarnation > self.me.incarnation
        })
    }

    /// Tells some others that we go, and says nothing more.
    pub fn leave(&mut self, now: Millis) {
        if !std::mem::replace(&mut self.left, true) {
            let _ = self.foca.leave_cluster(&mut self.runtime);
            self.settle(now);
            self.timers.clear();
        }
    }

    /// What is to be done next.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Tells each change once, however many ways it is heard.
    fn told(&mut self, process: ProcessId, up: bool) {
        if up && self.up.insert(process) {
            self.commands.push_back(Command::Up(process));
        } else if !up && self.up.remove(&process) {
            self.commands.push_back(Command::Down(process));
        }
    }

    fn settle(&mut self, now: Millis) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.commands.push_back(Command::Send { to: to.process.ordinal, bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.serial += 1;
            let at = now + after.as_secs_f64() * 1_000.0;
            self.timers.push(Reverse(Due { at, serial: self.serial, timer }));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(known) => self.told(known.process, true),
                OwnedNotification::MemberDown(known) => self.told(known.process, false),
                // The same process under its next name is no news.
                OwnedNotification::Rename(was, is) if was.process != is.process => {
                    self.told(was.process, false);
                    self.told(is.process, true);
                }
                OwnedNotification::Rejoin(_) => self.counts.returned += 1,
                OwnedNotification::Idle => {
                    self.alone = true;
                    self.announce_at = now;
                }
                OwnedNotification::Active => self.alone = false,
                _ => {}
            }
        }
    }
}
