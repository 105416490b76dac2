//! What processes tell one another, and its bytes: `postcard`, 255 at most, so that with the byte that says whose it
//! is a datagram has 256.

use crate::{Duty, Epoch, Micros, ProcessId, Round, Term, View};
use serde::{Deserialize, Serialize};

/// The longest message in bytes.
pub const MESSAGE_MOST: usize = 255;
/// Voters of a view, at most.
pub(crate) const VOTERS_MOST: usize = 5;
/// Members in one part of a roll: eleven bytes each at most.
pub(crate) const PART: usize = 18;
/// Duties in one message: some thirty bytes each at most.
pub(crate) const DUTIES_MOST: usize = 4;

/// See the table on the crate's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// A process without a view looks for one.
    Hello { from: ProcessId, seen: Epoch },
    /// A candidate asks whether the lease is free, and to hear of no older round.
    Ask { from: ProcessId, epoch: Epoch, round: Round },
    /// It is; and the next view, if the voter has taken one.
    Yes { from: ProcessId, epoch: Epoch, round: Round, accepted: Option<(Round, View)> },
    /// It is not for so long, or a later round has been promised.
    No { from: ProcessId, epoch: Epoch, promised: Round, left: Micros },
    /// A candidate, or the steward, asks for the lease from now on.
    Lease { from: ProcessId, epoch: Epoch, round: Round, asked: Micros },
    /// It has it.
    Granted { from: ProcessId, epoch: Epoch, round: Round, asked: Micros },
    /// The steward proposes the next view.
    Propose { from: ProcessId, epoch: Epoch, round: Round, next: View },
    /// The voter takes it.
    Taken { from: ProcessId, epoch: Epoch, round: Round },
    /// The steward gives its lease back.
    Release { from: ProcessId, epoch: Epoch, round: Round },
    /// The view, its steward, and who owns which duty.
    News {
        from: ProcessId,
        view: View,
        steward: Option<ProcessId>,
        round: Round,
        duties: Vec<(Duty, Term, ProcessId)>,
    },
    /// A part of the steward's list of members.
    Roll { from: ProcessId, term: Term, part: u8, parts: u8, members: Vec<ProcessId> },
    /// Somebody would own a duty, or goes on.
    Want { from: ProcessId, duty: Duty, asked: Micros },
    /// It does, for so long from when it asked.
    Given { from: ProcessId, duty: Duty, term: Term, asked: Micros, lasts: Micros },
    /// It gives it back.
    Return { from: ProcessId, duty: Duty, term: Term },
    /// A member of the roll asks not to be left out of it for a while.
    Stay { from: ProcessId, asked: Micros },
    /// It won't be, for so long from when it asked.
    Stays { from: ProcessId, asked: Micros, lasts: Micros },
    /// It goes, and may be left out at once.
    Unstay { from: ProcessId },
}

impl Message {
    /// Whose it is.
    pub fn from(&self) -> ProcessId {
        match *self {
            Message::Hello { from, .. }
            | Message::Ask { from, .. }
            | Message::Yes { from, .. }
            | Message::No { from, .. }
            | Message::Lease { from, .. }
            | Message::Granted { from, .. }
            | Message::Propose { from, .. }
            | Message::Taken { from, .. }
            | Message::Release { from, .. }
            | Message::News { from, .. }
            | Message::Roll { from, .. }
            | Message::Want { from, .. }
            | Message::Given { from, .. }
            | Message::Return { from, .. }
            | Message::Stay { from, .. }
            | Message::Stays { from, .. }
            | Message::Unstay { from } => from,
        }
    }

    /// Its bytes. What would be too long is left out by whoever makes the message.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A message, if these bytes are one and nothing else.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MESSAGE_MOST {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        (rest.is_empty() && message.whole()).then_some(message)
    }

    /// Whether it keeps the bounds that its receivers count on.
    fn whole(&self) -> bool {
        let view = |view: &View| {
            let ordered = view.voters.windows(2).all(|pair| pair[0].ordinal < pair[1].ordinal);
            ordered
                && view.voters.len() <= VOTERS_MOST
                && view.voters.is_empty() == (view.epoch == Epoch::default())
        };
        match self {
            Message::Yes { accepted: Some((_, next)), .. } | Message::Propose { next, .. } => {
                view(next) && next.epoch != Epoch::default()
            }
            Message::News { view: told, duties, .. } => view(told) && duties.len() <= DUTIES_MOST,
            Message::Roll { part, parts, members, .. } => part < parts && members.len() <= PART,
            _ => true,
        }
    }
}

/// What goes before an owner's deed on its way to others: whose it is, and under which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deed {
    /// Who does it.
    pub owner: ProcessId,
    /// Which duty's.
    pub duty: Duty,
    /// Under which term.
    pub term: Term,
}

impl Deed {
    /// Its longest head: an owner of eleven bytes, a duty, and a term of five numbers.
    pub const HEAD_MOST: usize = 14 + 1 + 5 + 5 + 5 + 3 + 5;

    /// The head, then the deed itself.
    pub fn write(&self, text: &[u8]) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend_from_slice(text);
        bytes
    }

    /// The head, and the deed itself.
    pub fn read(bytes: &[u8]) -> Option<(Deed, &[u8])> {
        postcard::take_from_bytes(bytes).ok()
    }
}
