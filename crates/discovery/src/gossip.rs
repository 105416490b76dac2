//! Gossip between schedulers on changes of the endpoint list, so that one scheduler's open watch serves all.
//!
//! In a small cluster a scheduler sends each change to all others. In a larger one, each scheduler to which a change is
//! new passes it on to two others at random, and its revision to three more (rumour mongering, Demers et al., "Epidemic algorithms for replicated
//! database maintenance", 1987). A peer whose reply shows that it has heard of the revision gets no further message;
//! others are sent the rumour again, a few times, within a budget of bytes.
//!
//! Messages may be lost, late, overtaken or repeated, and a peer that has heard of a revision may lack a part of it: its
//! changes may fill several messages. So a rumour promises nothing. What it has not brought is pulled: after a start, and
//! whenever [`crate::anti_entropy`] says so. No message makes an endpoint known or ready: the endpoint table sees to that.
//!
//! | message | sent | answered by |
//! | --- | --- | --- |
//! | push | a change, a few times until the receiver has heard of its revision | reply |
//! | pull | with a digest of what is known beside the own list | reply, with the recent changes if the digests differ |
//! | reply | revisions held and heard of; also unasked, where a change is news in a large cluster | nothing |

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

/// Most peers that one scheduler sends a change to. In a cluster of one scheduler more all are reached directly.
const FANOUT: usize = 8;
/// Pauses before a rumour is sent again to peers that have not confirmed it.
const PUSH_RETRY_INTERVALS: [Millis; 4] = [120.0, 250.0, 500.0, 1_000.0];
/// Pauses before the pulls after a start, until a message of any peer comes.
const PULL_INTERVALS: [Millis; 3] = [0.0, 300.0, 1_200.0];
/// In a large cluster a change is sent to so many peers, and its revision alone to so many more, who pull the change unless it
/// reaches them otherwise (lazy push, as in Leitao et al., "Epidemic broadcast trees", 2007).
const EAGER_FANOUT: usize = 2;
const LAZY_FANOUT: usize = 3;
/// After discovery has restarted its count of revisions, some peers go on by the old count for a while.
const FORMER_COUNT_TIMEOUT: Millis = 30_000.0;
/// The pause before a rumour is sent again varies by this much to both sides.
const RETRY_JITTER: f64 = 0.25;

/// What a peer's message says.
pub(crate) struct ReceivedGossip {
    /// Its changes that were not known, and are newer than the list held.
    pub(crate) news: Vec<EndpointChange>,
    /// It is a reply.
    pub(crate) is_reply: bool,
    /// The revision that the peer holds.
    pub(crate) held_revision: u64,
    /// The newest revision that the peer has heard of.
    pub(crate) known_revision: u64,
}

/// Changes of one revision that are being spread.
struct Rumour {
    revision: u64,
    changes: Vec<EndpointChange>,
    times_sent: usize,
    next_send_at: Millis,
    receivers: Vec<u16>,
}

/// The newest revisions that a peer has stated.
#[derive(Clone, Copy)]
struct PeerRevisions {
    /// Its own list has it.
    held: u64,
    /// It has heard of it; of its changes it may lack some.
    known: u64,
}

/// The count of revisions before discovery restarted it.
#[derive(Clone, Copy)]
struct FormerCount {
    /// The revision held then: what names it or a newer one goes by the old count.
    revision: u64,
    /// Until when that is assumed.
    until: Millis,
}

/// What a peer that pulls has stated of its knowledge.
#[derive(Clone, Copy)]
struct PullState {
    /// The revision of its own list.
    held: u64,
    /// The newest revision that it has heard of.
    known: u64,
    /// A digest of the changes beyond it that it knows.
    digest: u64,
}

/// A reply that is due.
enum Reply {
    /// States the revisions.
    Acknowledgement,
    /// Brings the recent changes too, if the peer does not know them.
    RecentChanges(PullState),
}

/// One scheduler's part in the gossip.
pub(crate) struct Gossip {
    ordinal: u16,
    schedulers: u16,
    peer_revisions: BTreeMap<u16, PeerRevisions>,
    /// The newest revision heard of here, from the list or by gossip.
    known_revision: u64,
    rumours: Vec<Rumour>,
    /// The newest revision that was announced to some peers.
    announced_revision: u64,
    former_count: Option<FormerCount>,
    recent: RecentChanges,
    /// Replies that are due, by receiver.
    replies: BTreeMap<u16, Reply>,
    /// Peers to pull from.
    pulls: Vec<u16>,
    pulls_sent: usize,
    next_pull_at: Millis,
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
            announced_revision: 0,
            former_count: None,
            recent: RecentChanges::default(),
            replies: BTreeMap::new(),
            pulls: Vec::new(),
            pulls_sent: 0,
            next_pull_at: now,
            byte_budget: ByteBudget::new(now),
        }
    }

    /// The list held has changed, or another revision of it has been confirmed.
    pub(crate) fn on_list_change(&mut self, now: Millis, revision: u64, changes: &[EndpointChange]) {
        self.known_revision = self.known_revision.max(revision);
        let told: Vec<EndpointChange> =
            changes.iter().copied().filter(|change| self.is_worth_telling(change)).collect();
        for &change in &told {
            self.recent.remember(now, ReportedChange { reporter: self.ordinal, change });
        }
        self.recent.expire(now);
        if !changes.is_empty() {
            self.spread(now, revision, told);
        }
    }

    /// Discovery has restarted its count of revisions: what is known of the old one says nothing any more.
    pub(crate) fn restart_revisions(&mut self, now: Millis, former_revision: u64) {
        let until = now + FORMER_COUNT_TIMEOUT;
        self.former_count = Some(FormerCount { revision: former_revision, until });
        (self.known_revision, self.announced_revision) = (0, 0);
        self.peer_revisions = BTreeMap::new();
        self.recent.clear();
    }

    /// Takes a message of a peer in; `held_revision` is the one held here.
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
        let is_of_former_count = |former: FormerCount| {
            now < former.until && held_revision < former.revision && known >= former.revision
        };
        if self.former_count.is_some_and(is_of_former_count) {
            return Err(MessageError::FormerCount);
        }
        self.peer_revisions.insert(from, PeerRevisions { held: peer_held, known });
        let digest = message.take_digest();
        let news = self.learn_changes(now, from, &message, held_revision);
        // Any message ends the pulls after a start.
        self.pulls_sent = PULL_INTERVALS.len();
        self.schedule_reply(from, purpose, PullState { held: peer_held, known, digest });
        let is_reply = purpose == Purpose::Reply;
        Ok(ReceivedGossip { news, is_reply, held_revision: peer_held, known_revision: known })
    }

    /// Remembers those of a peer's changes that the own list does not hold, and in a large cluster passes on what is news.
    /// Each change is judged by itself: of the messages with one revision's changes some may be lost or come late. What
    /// was pulled is not passed on, for others can pull it too. Gives what is news.
    fn learn_changes(
        &mut self,
        now: Millis,
        from: u16,
        message: &Message,
        held_revision: u64,
    ) -> Vec<EndpointChange> {
        let mut news = Vec::new();
        let newer = message.changes.iter().filter(|change| change.revision > held_revision);
        for &change in newer {
            if self.is_worth_telling(&change)
                && self.recent.remember(now, ReportedChange { reporter: from, change }) == Novelty::News
            {
                news.push(change);
            }
        }
        self.recent.expire(now);
        let newest = news.iter().map(|change| change.revision).max().unwrap_or(0);
        self.known_revision = self.known_revision.max(newest);
        if message.purpose == Purpose::Push && self.is_large_cluster() {
            self.spread(now, newest, news.clone());
        }
        news
    }

    /// Whether other schedulers have any use for a change. That an endpoint is ready they learn from their own lists only. It
    /// matters where it supersedes a withdrawal; and in a small cluster, where it costs little, it brings the revision.
    fn is_worth_telling(&self, change: &EndpointChange) -> bool {
        let is_withdrawn = |known: ReportedChange| known.change.readiness != Readiness::Ready;
        !self.is_large_cluster()
            || change.readiness != Readiness::Ready
            || self.recent.get(change.tag).is_some_and(is_withdrawn)
    }

    /// Schedules the reply that a message of this purpose asks for. The one to a pull serves as the one to a push too.
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

    /// Pulls from this peer with the next messages.
    pub(crate) fn pull_from(&mut self, peer: u16) {
        if peer < self.schedulers && peer != self.ordinal && !self.pulls.contains(&peer) {
            self.pulls.push(peer);
        }
    }

    /// Pulls from so many peers at random with the next messages.
    pub(crate) fn pull_from_random(&mut self, count: usize, rng: &mut Rng) {
        for peer in self.random_peers(count, rng) {
            self.pull_from(peer);
        }
    }

    /// The newest change known of an endpoint, if the list of revision `held` does not hold it.
    pub(crate) fn change_beyond(&self, held: u64, tag: u64) -> Option<ReportedChange> {
        self.recent.get(tag).filter(|reported| reported.change.revision > held)
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        let pulling = self.pulls_sent < PULL_INTERVALS.len();
        let next_pull = if pulling { self.next_pull_at } else { Millis::INFINITY };
        self.rumours.iter().map(|rumour| rumour.next_send_at).fold(next_pull, Millis::min)
    }

    /// The messages that are due now.
    pub(crate) fn due_messages(
        &mut self,
        now: Millis,
        held_revision: u64,
        rng: &mut Rng,
    ) -> Vec<OutgoingMessage> {
        self.schedule_start_pulls(now, rng);
        let mut drafts = Drafts::default();
        self.draft_replies(&mut drafts);
        self.draft_pushes(now, rng, &mut drafts);
        let mut messages = self.encode_pulls(held_revision);
        let revisions = StatedRevisions { held: held_revision, known: self.known_revision };
        messages.extend(drafts.encode(self.ordinal, revisions));
        self.byte_budget.limit(now, messages)
    }

    /// Starts a rumour. One without changes brings the revision alone.
    fn spread(&mut self, now: Millis, revision: u64, changes: Vec<EndpointChange>) {
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

    /// The pulls after a start, until a message of any peer comes.
    fn schedule_start_pulls(&mut self, now: Millis, rng: &mut Rng) {
        if self.pulls_sent >= PULL_INTERVALS.len() || now < self.next_pull_at {
            return;
        }
        self.pulls_sent += 1;
        self.next_pull_at = now + PULL_INTERVALS.get(self.pulls_sent).copied().unwrap_or(0.0);
        self.pull_from_random(FANOUT, rng);
    }

    /// The messages of all pulls that are due. They state a digest of what is known beside the own list.
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

    /// The changes that a peer in this state may lack. If it has not heard of our newest revision, it is sent what it has not
    /// heard of; whether it lacks some of the rest shows in its next pull.
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
                self.announce(rumour, drafts);
            }
            rumour.next_send_at = match PUSH_RETRY_INTERVALS.get(rumour.times_sent) {
                Some(pause) => now + pause * (1.0 - RETRY_JITTER + 2.0 * RETRY_JITTER * rng.f64()),
                None => Millis::INFINITY,
            };
            rumour.times_sent += 1;
            // Who has heard of the revision may lack a part of it, so all but those whose own lists hold it get it once.
            let may_lack = |to| match is_first_time {
                true => !self.holds(to, rumour.revision),
                false => !self.has_heard_of(to, rumour.revision),
            };
            for &to in rumour.receivers.iter().filter(|&&to| may_lack(to)) {
                drafts.add(to, Purpose::Push, rumour.changes.iter().copied());
            }
        }
        rumours.retain(|rumour| self.is_pending(rumour));
        self.rumours = rumours;
    }

    /// In a large cluster, leaves a rumour few receivers, and sends a few others its revision alone, once for each revision.
    fn announce(&mut self, rumour: &mut Rumour, drafts: &mut Drafts) {
        if !self.is_large_cluster() {
            return;
        }
        let eager = if rumour.changes.is_empty() { 0 } else { EAGER_FANOUT };
        let lazy = rumour.receivers.split_off(eager);
        if rumour.revision <= self.announced_revision {
            return;
        }
        self.announced_revision = rumour.revision;
        for to in lazy.into_iter().take(LAZY_FANOUT).filter(|&to| !self.holds(to, rumour.revision)) {
            drafts.add(to, Purpose::Reply, []);
        }
    }

    /// Whether there are more peers than one scheduler sends a change to.
    fn is_large_cluster(&self) -> bool {
        usize::from(self.schedulers) > FANOUT + 1
    }

    /// Whether a rumour is to be sent again: it was not sent for the last time, and not all its receivers know it.
    fn is_pending(&self, rumour: &Rumour) -> bool {
        let is_unconfirmed = rumour.receivers.iter().any(|&to| !self.has_heard_of(to, rumour.revision));
        rumour.next_send_at.is_finite() && (rumour.times_sent == 0 || is_unconfirmed)
    }

    /// Whether a peer's own list is known to have this revision.
    fn holds(&self, peer: u16, revision: u64) -> bool {
        self.peer_revisions.get(&peer).is_some_and(|known| known.held >= revision)
    }

    /// Whether a peer is known to have heard of this revision.
    fn has_heard_of(&self, peer: u16, revision: u64) -> bool {
        self.peer_revisions.get(&peer).is_some_and(|known| known.known >= revision)
    }

    /// So many peers at random, or all where there are no more than [`FANOUT`] and that many are asked for.
    fn random_peers(&self, count: usize, rng: &mut Rng) -> Vec<u16> {
        let mut peers: Vec<u16> = (0..self.schedulers).filter(|&peer| peer != self.ordinal).collect();
        if peers.len() > count {
            rng.shuffle(&mut peers);
            peers.truncate(count);
        }
        peers
    }
}
