//! Gossip between schedulers about endpoint list changes, so that one working watch keeps all schedulers up
//! to date.
//!
//! In a small cluster a scheduler sends each change to all peers. In a large one, each scheduler to which a
//! change is new forwards it to two random peers and sends its revision number alone to three more (rumour
//! mongering, Demers et al., "Epidemic algorithms for replicated database maintenance", 1987). A peer whose
//! reply shows that it knows of the revision gets no further message; for the others the rumour is resent a
//! few times, within a byte budget.
//!
//! Messages may be lost, delayed, reordered or duplicated. A peer that knows of a revision may still lack
//! some of its changes, because they may span several messages. Rumours are therefore best effort, and
//! missing changes are pulled: at startup, and whenever [`crate::anti_entropy`] schedules a pull. No message
//! adds an endpoint or makes one ready; the endpoint table enforces this.
//!
//! | message | content | answered by |
//! | --- | --- | --- |
//! | push | changes; resent a few times until the receiver knows of their revision | reply |
//! | pull | digest of known changes newer than the sender's list | reply, with changes if digests differ |
//! | reply | the held and the known revision, and possibly changes | nothing |
//!
//! In a large cluster a reply is also sent unsolicited, to advertise a revision.

mod message;
mod outbox;
mod recent_changes;
#[cfg(test)]
mod tests;

pub(crate) use message::{EndpointChange, MessageError, is_gossip, name_tag};
pub(crate) use recent_changes::ReportedChange;

use brackenledge_policy::{Millis, Readiness};
use fastrand::Rng;
use message::{Message, Purpose};
use outbox::{ByteBudget, Drafts, OutgoingMessage, StatedRevisions};
use recent_changes::{Novelty, RecentChanges};

use std::collections::BTreeMap;

/// With at most this many peers, the cluster is small: a scheduler sends each change to all of them, and
/// changes are not forwarded. Also the maximum number of peers pulled from at once at startup.
const FANOUT: usize = 8;
/// Delays before a rumour is resent to the receivers that have not stated that they know of its revision.
const PUSH_RETRY_INTERVALS: [Millis; 4] = [120.0, 250.0, 500.0, 1_000.0];
/// Delays before the pulls at startup. They stop as soon as a message arrives from any peer.
const STARTUP_PULL_INTERVALS: [Millis; 3] = [0.0, 300.0, 1_200.0];
/// Number of peers that a change is sent to in a large cluster.
const EAGER_FANOUT: usize = 2;
/// Number of further peers that are sent the revision number alone. They pull the change unless it reaches
/// them otherwise (lazy push, as in Leitao et al., "Epidemic broadcast trees", 2007).
const LAZY_FANOUT: usize = 3;
/// For how long after a restart of discovery's revision numbering messages that use the former numbering are
/// rejected. Some peers still use it for a while.
const FORMER_NUMBERING_TIMEOUT: Millis = 30_000.0;
/// Jitter of the resend delays, as a fraction in either direction.
const RETRY_JITTER: f64 = 0.25;

/// The content of a peer's message.
pub(crate) struct ReceivedGossip {
    /// The changes that were not known before and are newer than the held list.
    pub(crate) new_changes: Vec<EndpointChange>,
    pub(crate) is_reply: bool,
    /// The revision of the peer's own list.
    pub(crate) held_revision: u64,
    /// The newest revision that the peer knows of.
    pub(crate) known_revision: u64,
}

/// Changes that are being sent to peers, or a revision that is being advertised alone.
struct Rumour {
    /// The newest revision among the changes, or the advertised one.
    revision: u64,
    /// Empty if the revision is advertised alone.
    changes: Vec<EndpointChange>,
    times_sent: usize,
    /// Infinite once no retry is left.
    next_send_at: Millis,
    /// The peers to which the changes are sent; chosen when the rumour is first sent, and empty until then.
    receivers: Vec<u16>,
}

/// The revisions that a peer stated in its latest message.
#[derive(Clone, Copy)]
struct PeerRevisions {
    /// The revision of the peer's own list.
    held: u64,
    /// The newest revision that the peer knows of. It may lack some of its changes.
    known: u64,
}

/// The revision numbering before discovery restarted it.
#[derive(Clone, Copy)]
struct FormerNumbering {
    /// The revision held at the restart. Messages that state it or a newer one use the former numbering.
    revision: u64,
    /// Until when such messages are rejected.
    until: Millis,
}

/// What a pulling peer already knows, as stated in its pull.
#[derive(Clone, Copy)]
struct PullState {
    /// The revision of its own list.
    held: u64,
    /// The newest revision that it knows of.
    known: u64,
    /// A digest of the changes that it knows and that are newer than its list.
    digest: u64,
}

/// A reply to be sent.
enum Reply {
    /// States the revisions only.
    Acknowledgement,
    /// Also carries the recent changes, if the peer's digest shows that it lacks some.
    RecentChanges(PullState),
}

/// The gossip state of one scheduler.
pub(crate) struct Gossip {
    ordinal: u16,
    schedulers: u16,
    peer_revisions: BTreeMap<u16, PeerRevisions>,
    /// The newest revision known here, from the list or from gossip.
    known_revision: u64,
    rumours: Vec<Rumour>,
    /// The newest revision that was advertised alone, without its changes.
    advertised_revision: u64,
    former_numbering: Option<FormerNumbering>,
    recent: RecentChanges,
    /// Pending replies, by receiver.
    replies: BTreeMap<u16, Reply>,
    /// Peers to pull from with the next messages.
    pulls: Vec<u16>,
    startup_pulls_sent: usize,
    next_startup_pull_at: Millis,
    byte_budget: ByteBudget,
}

impl Gossip {
    pub(crate) fn new(now: Millis, ordinal: u16, schedulers: u16) -> Self {
        Gossip {
            ordinal,
            schedulers,
            peer_revisions: BTreeMap::new(),
            known_revision: 0,
            rumours: Vec::new(),
            advertised_revision: 0,
            former_numbering: None,
            recent: RecentChanges::default(),
            replies: BTreeMap::new(),
            pulls: Vec::new(),
            startup_pulls_sent: 0,
            next_startup_pull_at: now,
            byte_budget: ByteBudget::new(now),
        }
    }

    /// Handles a change of the held list, or of its revision alone.
    pub(crate) fn on_list_change(&mut self, now: Millis, revision: u64, changes: &[EndpointChange]) {
        self.known_revision = self.known_revision.max(revision);
        let advertised: Vec<EndpointChange> =
            changes.iter().copied().filter(|change| self.should_advertise(change)).collect();
        for &change in &advertised {
            self.recent.insert(now, ReportedChange { reporter: self.ordinal, change });
        }
        self.recent.expire(now);
        if !changes.is_empty() {
            self.start_rumour(now, revision, advertised);
        }
    }

    /// Discards all revisions and changes known so far, since discovery has restarted its revision numbering.
    pub(crate) fn restart_revisions(&mut self, now: Millis, former_revision: u64) {
        let until = now + FORMER_NUMBERING_TIMEOUT;
        self.former_numbering = Some(FormerNumbering { revision: former_revision, until });
        (self.known_revision, self.advertised_revision) = (0, 0);
        self.peer_revisions = BTreeMap::new();
        self.recent.clear();
    }

    /// Handles a message from a peer. `held_revision` is the revision of this scheduler's list.
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        from: u16,
        text: &str,
        held_revision: u64,
    ) -> Result<ReceivedGossip, MessageError> {
        let mut message = Message::decode(text)?;
        if from == self.ordinal {
            return Err(MessageError::OwnMessage);
        }
        let Message { purpose, held_revision: peer_held, known_revision: peer_known, .. } = message;
        let known = peer_held.max(peer_known);
        let uses_former_numbering = |former: FormerNumbering| {
            now < former.until && held_revision < former.revision && known >= former.revision
        };
        if self.former_numbering.is_some_and(uses_former_numbering) {
            return Err(MessageError::FormerNumbering);
        }
        self.peer_revisions.insert(from, PeerRevisions { held: peer_held, known });
        let digest = message.take_digest();
        let new_changes = self.learn_changes(now, from, &message, held_revision);
        // Any message ends the startup pulls.
        self.startup_pulls_sent = STARTUP_PULL_INTERVALS.len();
        self.schedule_reply(from, purpose, PullState { held: peer_held, known, digest });
        let is_reply = purpose == Purpose::Reply;
        Ok(ReceivedGossip { new_changes, is_reply, held_revision: peer_held, known_revision: known })
    }

    /// Stores the peer's changes that are newer than this scheduler's list, and returns those that are new
    /// here. In a large cluster these are forwarded if they came in a push; pulled changes are not, since
    /// others can pull them too. Each change is handled on its own, because the changes of one revision may
    /// span several messages, some of which may be lost or late.
    fn learn_changes(
        &mut self,
        now: Millis,
        from: u16,
        message: &Message,
        held_revision: u64,
    ) -> Vec<EndpointChange> {
        let mut new_changes = Vec::new();
        let newer = message.changes.iter().filter(|change| change.revision > held_revision);
        for &change in newer {
            if self.should_advertise(&change)
                && self.recent.insert(now, ReportedChange { reporter: from, change }) == Novelty::New
            {
                new_changes.push(change);
            }
        }
        self.recent.expire(now);
        let newest = new_changes.iter().map(|change| change.revision).max().unwrap_or(0);
        self.known_revision = self.known_revision.max(newest);
        if message.purpose == Purpose::Push && self.is_large_cluster() {
            self.start_rumour(now, newest, new_changes.clone());
        }
        new_changes
    }

    /// Whether a change is worth sending to other schedulers. They accept "ready" from their own lists only,
    /// so in a large cluster such a change is sent only if it supersedes a known withdrawal. In a small
    /// cluster it is always sent, because it costs little and tells peers the revision.
    fn should_advertise(&self, change: &EndpointChange) -> bool {
        let is_withdrawn = |known: ReportedChange| known.change.readiness != Readiness::Ready;
        !self.is_large_cluster()
            || change.readiness != Readiness::Ready
            || self.recent.get(change.tag).is_some_and(is_withdrawn)
    }

    /// Schedules the reply that a message of this purpose asks for. A reply to a pull also answers a push.
    fn schedule_reply(&mut self, to: u16, purpose: Purpose, state: PullState) {
        match purpose {
            Purpose::Push => {
                self.replies.entry(to).or_insert(Reply::Acknowledgement);
            }
            Purpose::Pull => {
                self.replies.insert(to, Reply::RecentChanges(state));
            }
            Purpose::Reply => {}
        }
    }

    /// Sends a pull to this peer with the next messages.
    pub(crate) fn pull_from(&mut self, peer: u16) {
        if peer < self.schedulers && peer != self.ordinal && !self.pulls.contains(&peer) {
            self.pulls.push(peer);
        }
    }

    /// Sends pulls to `count` random peers with the next messages.
    pub(crate) fn pull_from_random(&mut self, count: usize, rng: &mut Rng) {
        for peer in self.random_peers(count, rng) {
            self.pull_from(peer);
        }
    }

    /// The newest known change of an endpoint, if it is newer than the list of revision `held`.
    pub(crate) fn change_newer_than(&self, held: u64, tag: u64) -> Option<ReportedChange> {
        self.recent.get(tag).filter(|reported| reported.change.revision > held)
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        let pulling = self.startup_pulls_sent < STARTUP_PULL_INTERVALS.len();
        let next_pull = if pulling { self.next_startup_pull_at } else { Millis::INFINITY };
        self.rumours.iter().map(|rumour| rumour.next_send_at).fold(next_pull, Millis::min)
    }

    /// Takes the messages that are due now, as far as the byte budget allows.
    pub(crate) fn due_messages(
        &mut self,
        now: Millis,
        held_revision: u64,
        rng: &mut Rng,
    ) -> Vec<OutgoingMessage> {
        self.schedule_startup_pulls(now, rng);
        let mut drafts = Drafts::default();
        self.draft_replies(&mut drafts);
        self.draft_pushes(now, rng, &mut drafts);
        let mut messages = self.encode_pulls(held_revision);
        let revisions = StatedRevisions { held: held_revision, known: self.known_revision };
        messages.extend(drafts.encode(self.ordinal, revisions));
        self.byte_budget.limit(now, messages)
    }

    /// Starts a rumour. Without changes it advertises the revision alone, which only large clusters do.
    fn start_rumour(&mut self, now: Millis, revision: u64, changes: Vec<EndpointChange>) {
        if changes.is_empty() && !self.is_large_cluster() {
            return;
        }
        self.rumours.push(Rumour {
            revision,
            changes,
            times_sent: 0,
            next_send_at: now,
            receivers: Vec::new(),
        });
    }

    /// Schedules the next startup pull if it is due.
    fn schedule_startup_pulls(&mut self, now: Millis, rng: &mut Rng) {
        if self.startup_pulls_sent >= STARTUP_PULL_INTERVALS.len() || now < self.next_startup_pull_at {
            return;
        }
        self.startup_pulls_sent += 1;
        self.next_startup_pull_at =
            now + STARTUP_PULL_INTERVALS.get(self.startup_pulls_sent).copied().unwrap_or(0.0);
        self.pull_from_random(FANOUT, rng);
    }

    /// Encodes all pending pulls, with a digest of the known changes that are newer than this scheduler's
    /// list.
    fn encode_pulls(&mut self, held_revision: u64) -> Vec<OutgoingMessage> {
        let pulls = std::mem::take(&mut self.pulls);
        if pulls.is_empty() {
            return Vec::new();
        }
        let digest = self.recent.digest(held_revision);
        let text = Message::pull(held_revision, self.known_revision, digest).encode();
        pulls.into_iter().map(|to| OutgoingMessage { to, text: text.clone() }).collect()
    }

    fn draft_replies(&mut self, drafts: &mut Drafts) {
        for (to, reply) in std::mem::take(&mut self.replies) {
            let changes: Vec<EndpointChange> = match reply {
                Reply::RecentChanges(state) => self.changes_for(state),
                Reply::Acknowledgement => Vec::new(),
            };
            drafts.add(to, Purpose::Reply, changes);
        }
    }

    /// The changes that a pulling peer may lack. If it does not know of the newest revision known here, it is
    /// sent only the changes newer than its known revision; the digest of its next pull shows whether it
    /// lacks older ones.
    fn changes_for(&self, PullState { held, known, digest }: PullState) -> Vec<EndpointChange> {
        if digest == self.recent.digest(held) {
            return Vec::new();
        }
        let since = if known < self.known_revision { known } else { held };
        self.recent.newer_than(since).collect()
    }

    fn draft_pushes(&mut self, now: Millis, rng: &mut Rng, drafts: &mut Drafts) {
        let mut rumours = std::mem::take(&mut self.rumours);
        for rumour in rumours.iter_mut().filter(|rumour| now >= rumour.next_send_at) {
            let is_first_time = rumour.times_sent == 0;
            if is_first_time {
                rumour.receivers = self.random_peers(FANOUT, rng);
                self.limit_fanout(rumour, drafts);
            }
            rumour.next_send_at = match PUSH_RETRY_INTERVALS.get(rumour.times_sent) {
                Some(pause) => now + pause * (1.0 - RETRY_JITTER + 2.0 * RETRY_JITTER * rng.f64()),
                None => Millis::INFINITY,
            };
            rumour.times_sent += 1;
            // A peer that knows of the revision may lack some of its changes, so the first transmission skips
            // only peers whose own lists hold the revision.
            let may_lack = |to| match is_first_time {
                true => !self.holds_revision(to, rumour.revision),
                false => !self.knows_revision(to, rumour.revision),
            };
            for &to in rumour.receivers.iter().filter(|&&to| may_lack(to)) {
                drafts.add(to, Purpose::Push, rumour.changes.iter().copied());
            }
        }
        rumours.retain(|rumour| self.is_pending(rumour));
        self.rumours = rumours;
    }

    /// In a large cluster, limits a rumour to [`EAGER_FANOUT`] receivers, or none if it has no changes, and
    /// advertises its revision alone to [`LAZY_FANOUT`] others, once for each revision.
    fn limit_fanout(&mut self, rumour: &mut Rumour, drafts: &mut Drafts) {
        if !self.is_large_cluster() {
            return;
        }
        let eager = if rumour.changes.is_empty() { 0 } else { EAGER_FANOUT };
        let lazy = rumour.receivers.split_off(eager);
        if rumour.revision <= self.advertised_revision {
            return;
        }
        self.advertised_revision = rumour.revision;
        for to in lazy.into_iter().take(LAZY_FANOUT).filter(|&to| !self.holds_revision(to, rumour.revision)) {
            drafts.add(to, Purpose::Reply, []);
        }
    }

    /// Whether there are more than [`FANOUT`] peers, so that changes have to be forwarded.
    fn is_large_cluster(&self) -> bool {
        usize::from(self.schedulers) > FANOUT + 1
    }

    /// Whether a rumour is still to be sent: it was never sent, or it has retries left and a receiver that
    /// has not stated that it knows of its revision.
    fn is_pending(&self, rumour: &Rumour) -> bool {
        let is_unconfirmed = rumour.receivers.iter().any(|&to| !self.knows_revision(to, rumour.revision));
        rumour.next_send_at.is_finite() && (rumour.times_sent == 0 || is_unconfirmed)
    }

    /// Whether a peer has stated that its own list has this revision or a newer one.
    fn holds_revision(&self, peer: u16, revision: u64) -> bool {
        self.peer_revisions.get(&peer).is_some_and(|stated| stated.held >= revision)
    }

    /// Whether a peer has stated that it knows of this revision or a newer one.
    fn knows_revision(&self, peer: u16, revision: u64) -> bool {
        self.peer_revisions.get(&peer).is_some_and(|stated| stated.known >= revision)
    }

    /// Up to `count` random peers; all peers if there are no more than that.
    fn random_peers(&self, count: usize, rng: &mut Rng) -> Vec<u16> {
        let mut peers: Vec<u16> = (0..self.schedulers).filter(|&peer| peer != self.ordinal).collect();
        if peers.len() > count {
            rng.shuffle(&mut peers);
            peers.truncate(count);
        }
        peers
    }
}
