//! What processes tell one another of jobs, and its bytes: `postcard`, framed by COBS, so that a zero byte ends each.

use crate::record::{Ballot, Fate, Key, Ran, Sent};
use brackenledge_leases::{ProcessId, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest frame: a body of 64 KiB, a result that JSON made six times as long, and some room.
pub const FRAME_MOST: usize = 1 << 20;

/// See the table on the crate's page. `roll` is the term of the roll under which it was said, `ask` the holder's number
/// for what it asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// To a job's home: a client has brought this job, may I hold it?
    Open { roll: Term, record: Sent },
    /// From the home: you hold it, and keepers have it up to this version.
    Opened { roll: Term, key: Key, ask: u64, ballot: Ballot, version: u32 },
    /// From the home: another holds it; you will be told its end.
    Lives { roll: Term, key: Key, ask: u64 },
    /// From the home: its end.
    Told { key: Key, fate: Fate },
    /// From the home: there is no room for it.
    Full { roll: Term, key: Key, ask: u64 },
    /// From the holder to the home under a new roll: this is what I hold.
    Place { roll: Term, record: Sent },
    /// From a keeper to the home under a new roll: its holder is gone, or it has ended; this is what I know.
    Orphan { roll: Term, record: Sent },
    /// From the home to a second keeper.
    Keep { roll: Term, record: Sent },
    /// From the holder to the home, and on to the other keepers: of an attempt.
    Note { roll: Term, key: Key, ask: u64, version: u32, number: u32, worker: Arc<str>, ran: Ran },
    /// The same: of the job's end.
    Done { roll: Term, key: Key, ask: u64, version: u32, fate: Fate },
    /// The same: nothing need be known of it any more.
    Forget { roll: Term, key: Key, ask: u64 },
    /// From the holder to the home: go on with it instead of me.
    Yield { roll: Term, key: Key, ask: u64 },
    /// From a keeper to the home, from the home to the holder: it is kept up to this version.
    Noted { roll: Term, key: Key, ask: u64, version: u32 },
    /// From the home: it is not yours any more.
    Refused { roll: Term, key: Key, ask: u64 },
    /// To all under a new roll: you have heard from me of all that I keep and hold.
    Reported { roll: Term },
}

impl Message {
    /// Under which roll it was said; `None`: it holds under any.
    pub(crate) fn roll(&self) -> Option<Term> {
        match self {
            Message::Told { .. } => None,
            Message::Open { roll, .. }
            | Message::Opened { roll, .. }
            | Message::Lives { roll, .. }
            | Message::Full { roll, .. }
            | Message::Place { roll, .. }
            | Message::Orphan { roll, .. }
            | Message::Keep { roll, .. }
            | Message::Note { roll, .. }
            | Message::Done { roll, .. }
            | Message::Forget { roll, .. }
            | Message::Yield { roll, .. }
            | Message::Noted { roll, .. }
            | Message::Refused { roll, .. }
            | Message::Reported { roll } => Some(*roll),
        }
    }
}

/// What travels on a link between two schedulers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Frame {
    /// The first on a connection: who we are, and in which zone.
    Hello { from: ProcessId, zone: u32 },
    /// The second: of what you have sent me, this is what I have.
    Welcome { got: u64 },
    /// A message by its number, and what we have of yours.
    Data { number: u64, got: u64, message: Message },
    /// What we have of yours.
    Got { got: u64 },
}

impl Frame {
    /// Its bytes, the last of which is 0.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec_cobs(self).unwrap_or_default()
    }

    /// A frame from its bytes, the zero at their end with them; `None`: it is none.
    pub fn read(bytes: &mut [u8]) -> Option<Frame> {
        if bytes.len() > FRAME_MOST {
            return None;
        }
        postcard::from_bytes_cobs(bytes).ok()
    }
}
