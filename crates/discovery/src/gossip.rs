//! Gossip between schedulers on changes of the endpoint list, so that one scheduler's open watch serves all.
//!
//! In a small cluster a scheduler sends each change to all others. In a larger one, each scheduler to which a change is
//! new passes it on to a few others at random (rumour mongering, Demers et al., "Epidemic algorithms for replicated
//! database maintenance", 1987). A peer whose reply shows that it knows the revision gets no further message; others are
//! sent the rumour again, a few times, within a budget of bytes. A scheduler that has just started pulls the recent
//! changes from its peers.
//!
//! Messages may be lost, late or repeated. None makes an endpoint known or ready: the endpoint table sees to that.
//!
//! | message | sent | answered by |
//! | --- | --- | --- |
//! | push | a change, again until the receiver is known to have it | reply |
//! | pull | after a start, again until any message comes | reply with the recent changes |
//! | reply | revisions held and known | nothing |

mod message;
#[cfg(test)]
mod tests;

pub(crate) use message::{EndpointChange, MessageError, is_gossip, name_tag};

use crate::token_bucket::TokenBucket;
use brackenledge_policy::{Millis, Readiness};
use fastrand::Rng;
use message::{MAX_CHANGES, Message, Purpose};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Most peers that one scheduler sends a change to. In a cluster of one scheduler more all are reached directly.
const FANOUT: usize = 8;
/// Pauses before a rumour is sent again to peers that have not confirmed it.
const PUSH_RETRY_INTERVALS: [Millis; 4] = [120.0, 250.0, 500.0, 1_000.0];
/// Pauses before the pulls after a start, until a message of any peer comes.
const PULL_INTERVALS: [Millis; 3] = [0.0, 300.0, 1_200.0];
/// For how long a change is remembered for schedulers that have just started and pull.
const RECENT_CHANGE_RETENTION: Millis = 60_000.0;
/// Most changes that are remembered, and most changes in one rumour.
const MAX_RECENT_CHANGES: usize = 4 * MAX_CHANGES;
/// Refill rate of the byte budget.
const BYTES_PER_MILLI: f64 = 0.256;
/// Capacity of the byte budget.
const MAX_SAVED_BYTES: f64 = 4_096.0;
/// The pause before a rumour is sent again varies by this much to both sides.
const RETRY_JITTER: f64 = 0.25;

/// What a peer's message says.
pub(crate) struct ReceivedGossip {
    pub(crate) changes: Vec<EndpointChange>,
    /// How many of them were not known, and newer than the list held.
    pub(crate) new_changes: usize,
    /// The revision that the peer holds.
    pub(crate) held_revision: u64,
    /// The newest revision that the peer knows of.
    pub(crate) known_revision: u64,
}

/// A message to send.
pub(crate) struct OutgoingMessage {
    pub(crate) to: u16,
    pub(crate) text: String,
}

/// Changes of one revision that are being spread.
struct Rumour {
    revision: u64,
    changes: Vec<EndpointChange>,
    times_sent: usize,
    next_send_at: Millis,
    receivers: Vec<u16>,
}

/// A change that is still given to a scheduler that has just started.
struct RecentChange {
    learned_at: Millis,
    change: EndpointChange,
}

/// What goes to one receiver, before it is split into messages.
struct Draft {
    purpose: Purpose,
    changes: Vec<EndpointChange>,
}

/// One scheduler's part in the gossip.
pub(crate) struct Gossip {
    ordinal: u16,
    schedulers: u16,
    /// The newest revision that each peer is known to have, from its list or by gossip.
    peer_revisions: BTreeMap<u16, u64>,
    /// The newest revision known here, from the list or by gossip.
    known_revision: u64,
    rumours: Vec<Rumour>,
    recent: VecDeque<RecentChange>,
    /// Replies that are due, by receiver: the purpose of the message that is replied to.
    replies: BTreeMap<u16, Purpose>,
    pulls_sent: usize,
    next_pull_at: Millis,
    byte_budget: TokenBucket,
}

impl Gossip {
    pub(crate) fn new(now: Millis, ordinal: u16, schedulers: u16) -> Self {
        Gossip {
            ordinal,
            schedulers,
            peer_revisions: BTreeMap::new(),
            known_revision: 0,
            rumours: Vec::new(),
            recent: VecDeque::new(),
            replies: BTreeMap::new(),
            pulls_sent: 0,
            next_pull_at: now,
            byte_budget: TokenBucket::new(now, MAX_SAVED_BYTES, BYTES_PER_MILLI),
        }
    }

    /// The list held has changed, or another revision of it has been confirmed.
    pub(crate) fn on_list_change(&mut self, now: Millis, revision: u64, changes: &[EndpointChange]) {
        if revision < self.known_revision {
            // Discovery may have restarted its count: what is known of the old one says nothing any more.
            self.known_revision = revision;
            self.peer_revisions = BTreeMap::new();
        }
        self.known_revision = self.known_revision.max(revision);
        self.remember(now, changes);
        self.spread(now, revision, changes);
    }

    /// Takes a message of a peer in; `held_revision` is the one held here.
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        from: u16,
        text: &str,
        held_revision: u64,
    ) -> Result<ReceivedGossip, MessageError> {
        let message = Message::decode(text)?;
        if from == self.ordinal {
            return Err(MessageError::OwnMessage);
        }
        self.peer_revisions.insert(from, message.held_revision.max(message.known_revision));
        let new_changes = self.learn_changes(now, &message.changes, held_revision);
        // Any message ends the pulls after a start.
        self.pulls_sent = PULL_INTERVALS.len();
        self.schedule_reply(from, message.purpose);
        let Message { held_revision, known_revision, changes, .. } = message;
        Ok(ReceivedGossip { changes, new_changes, held_revision, known_revision })
    }

    /// Remembers a peer's changes if one of them is newer than any known, and in a large cluster passes them on. Gives the
    /// number of those that were new.
    fn learn_changes(&mut self, now: Millis, changes: &[EndpointChange], held_revision: u64) -> usize {
        let newest = changes.iter().map(|change| change.revision).max().unwrap_or(0);
        if newest <= self.known_revision {
            return 0;
        }
        let is_new = |change: &EndpointChange| change.revision > held_revision;
        let new_changes: Vec<EndpointChange> = changes.iter().copied().filter(is_new).collect();
        self.known_revision = newest;
        self.remember(now, &new_changes);
        if self.schedulers as usize > FANOUT + 1 {
            self.spread(now, newest, &new_changes);
        }
        new_changes.len()
    }

    /// Schedules the reply that a message of this purpose asks for. The one to a pull, which brings the recent changes,
    /// serves as the one to a push too.
    fn schedule_reply(&mut self, to: u16, purpose: Purpose) {
        match purpose {
            Purpose::Push => {
                self.replies.entry(to).or_insert(Purpose::Push);
            }
            Purpose::Pull => {
                self.replies.insert(to, Purpose::Pull);
            }
            Purpose::Reply => {}
        }
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
        self.byte_budget.refill(now);
        let mut drafts: BTreeMap<u16, Draft> = BTreeMap::new();
        self.draft_pulls(now, rng, &mut drafts);
        self.draft_replies(&mut drafts);
        self.draft_pushes(now, rng, &mut drafts);
        self.encode_within_budget(drafts, held_revision)
    }

    fn remember(&mut self, now: Millis, changes: &[EndpointChange]) {
        for &change in changes {
            self.recent.retain(|recent| recent.change.tag != change.tag);
            self.recent.push_back(RecentChange { learned_at: now, change });
        }
        let oldest = now - RECENT_CHANGE_RETENTION;
        while self.recent.len() > MAX_RECENT_CHANGES
            || self.recent.front().is_some_and(|recent| recent.learned_at < oldest)
        {
            self.recent.pop_front();
        }
    }

    /// Starts a rumour. A revision that changed nothing needs none: the next message states that it is held.
    fn spread(&mut self, now: Millis, revision: u64, changes: &[EndpointChange]) {
        if changes.is_empty() {
            return;
        }
        let changes = changes.iter().copied().take(MAX_RECENT_CHANGES).collect();
        self.rumours.push(Rumour {
            revision,
            changes,
            times_sent: 0,
            next_send_at: now,
            receivers: Vec::new(),
        });
    }

    fn draft_pulls(&mut self, now: Millis, rng: &mut Rng, drafts: &mut BTreeMap<u16, Draft>) {
        if self.pulls_sent >= PULL_INTERVALS.len() || now < self.next_pull_at {
            return;
        }
        self.pulls_sent += 1;
        self.next_pull_at = now + PULL_INTERVALS.get(self.pulls_sent).copied().unwrap_or(0.0);
        for to in self.random_peers(rng) {
            add_draft(drafts, to, Purpose::Pull, []);
        }
    }

    fn draft_replies(&mut self, drafts: &mut BTreeMap<u16, Draft>) {
        for (to, received) in std::mem::take(&mut self.replies) {
            if received == Purpose::Pull {
                let recent = self.recent.iter().rev().map(|recent| recent.change);
                add_draft(drafts, to, Purpose::Reply, recent);
            } else {
                add_draft(drafts, to, Purpose::Reply, []);
            }
        }
    }

    fn draft_pushes(&mut self, now: Millis, rng: &mut Rng, drafts: &mut BTreeMap<u16, Draft>) {
        let mut rumours = std::mem::take(&mut self.rumours);
        for rumour in rumours.iter_mut().filter(|rumour| now >= rumour.next_send_at) {
            if rumour.times_sent == 0 {
                rumour.receivers = self.random_peers(rng);
            }
            rumour.next_send_at = match PUSH_RETRY_INTERVALS.get(rumour.times_sent) {
                Some(pause) => now + pause * (1.0 - RETRY_JITTER + 2.0 * RETRY_JITTER * rng.f64()),
                None => Millis::INFINITY,
            };
            rumour.times_sent += 1;
            for &to in rumour.receivers.iter().filter(|&&to| self.lacks(to, rumour.revision)) {
                add_draft(drafts, to, Purpose::Push, rumour.changes.iter().copied());
            }
        }
        rumours.retain(|rumour| self.is_pending(rumour));
        self.rumours = rumours;
    }

    /// Whether a rumour is to be sent again: it was not sent for the last time, and not all its receivers know it.
    fn is_pending(&self, rumour: &Rumour) -> bool {
        let is_unconfirmed = rumour.receivers.iter().any(|&to| self.lacks(to, rumour.revision));
        rumour.next_send_at.is_finite() && (rumour.times_sent == 0 || is_unconfirmed)
    }

    /// Whether a peer is not known to have this revision.
    fn lacks(&self, peer: u16, revision: u64) -> bool {
        self.peer_revisions.get(&peer).is_none_or(|&known| known < revision)
    }

    /// Encodes as many of the drafts as the byte budget pays for.
    fn encode_within_budget(
        &mut self,
        drafts: BTreeMap<u16, Draft>,
        held_revision: u64,
    ) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        for (to, draft) in drafts {
            for text in self.encode_draft(draft, held_revision) {
                let bytes = text.len() as f64;
                if self.byte_budget.tokens() >= bytes {
                    self.byte_budget.take(bytes);
                    messages.push(OutgoingMessage { to, text });
                }
            }
        }
        messages
    }

    /// Splits a draft into messages. Changes that take an endpoint out of use come first, and of each kind the newest,
    /// since the byte budget may not pay for all messages.
    fn encode_draft(&self, mut draft: Draft, held_revision: u64) -> Vec<String> {
        draft.changes.sort_by_key(|change| (change.readiness == Readiness::Ready, Reverse(change.revision)));
        let encode = |changes: &[EndpointChange]| {
            let (purpose, known_revision) = (draft.purpose, self.known_revision);
            Message { purpose, held_revision, known_revision, changes: changes.to_vec() }.encode()
        };
        if draft.changes.is_empty() {
            return vec![encode(&[])];
        }
        draft.changes.chunks(MAX_CHANGES).map(encode).collect()
    }

    /// All peers, or some of them at random where they are many.
    fn random_peers(&self, rng: &mut Rng) -> Vec<u16> {
        let mut peers: Vec<u16> = (0..self.schedulers).filter(|&peer| peer != self.ordinal).collect();
        if peers.len() > FANOUT {
            rng.shuffle(&mut peers);
            peers.truncate(FANOUT);
        }
        peers
    }
}

/// Adds to what goes to one receiver. A purpose that asks for an answer takes precedence over a reply.
fn add_draft(
    drafts: &mut BTreeMap<u16, Draft>,
    to: u16,
    purpose: Purpose,
    changes: impl IntoIterator<Item = EndpointChange>,
) {
    let draft = drafts.entry(to).or_insert(Draft { purpose, changes: Vec::new() });
    if purpose != Purpose::Reply {
        draft.purpose = purpose;
    }
    draft.changes.extend(changes);
}
