//! Views and the identifiers that order them: epochs, ballots and terms.

use crate::ProcessId;
use serde::{Deserialize, Serialize};

/// Position of a view in the total order of views. Each bootstrap of the cluster starts a later era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Unix time of the bootstrap in seconds, but at least one more than the latest era known at that time.
    pub era: u32,
    /// Number of the view within its era, from 1.
    pub number: u32,
}

impl Epoch {
    /// The epoch of the next view. `None` if the number would overflow.
    pub(crate) fn successor(self) -> Option<Epoch> {
        Some(Epoch { era: self.era, number: self.number.checked_add(1)? })
    }
}

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// A Paxos proposal number. No two campaigns of one epoch use the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than the counters of the proposer's earlier ballots in this epoch, and of all ballots that
    /// rejections have reported to it.
    pub counter: u32,
    /// Ordinal of the proposer, which breaks ties.
    pub proposer: u16,
}

/// Fencing number of a role lease, and version of a member list: each grant to a different holder, and each
/// changed list, has a higher term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Epoch of the view in which the lease was granted or the list was made.
    pub epoch: Epoch,
    /// Ballot under which the leader that granted the lease or made the list was elected.
    pub ballot: Ballot,
    /// Counter of the leader: increases with each new role grant and each new member list.
    pub step: u32,
}

impl std::fmt::Display for Term {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Term { epoch, ballot, step } = self;
        write!(f, "{epoch}/{}.{}/{step}", ballot.counter, ballot.proposer)
    }
}

/// An epoch and its voters. The bootstrap view, of a cluster that has not bootstrapped yet, has the default
/// epoch and an empty list of voters: every configured scheduler may vote in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// Unique to this view.
    pub epoch: Epoch,
    /// In ascending order of their ordinals.
    pub voters: Vec<ProcessId>,
}

impl View {
    /// Whether this is the bootstrap view.
    pub fn is_bootstrap(&self) -> bool {
        self.epoch == Epoch::default()
    }
}
