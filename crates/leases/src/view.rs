//! Views and the identifiers that order them: epochs, ballots and terms.

use crate::ProcessId;
use serde::{Deserialize, Serialize};

/// A view's place in the order of all views. A cluster that bootstraps again starts a later era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Unix seconds when the cluster bootstrapped, or one more than the latest era known then.
    pub era: u32,
    /// Number of the view within its era, from 1.
    pub number: u32,
}

impl Epoch {
    /// The epoch of the view that replaces the one of this epoch. `None`: there are no more numbers.
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
    /// Higher than that of every ballot its proposer knew of.
    pub counter: u32,
    /// Ordinal of the proposer, which breaks ties.
    pub proposer: u16,
}

/// A fencing number: each lease that is granted to another holder has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Epoch of the view in which the lease was granted.
    pub epoch: Epoch,
    /// Ballot under which the leader that granted it was elected.
    pub ballot: Ballot,
    /// Number of the grant, counted by the leader.
    pub step: u32,
}

impl std::fmt::Display for Term {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Term { epoch, ballot, step } = self;
        write!(f, "{epoch}/{}.{}/{step}", ballot.counter, ballot.proposer)
    }
}

/// An epoch and its voters. The bootstrap view, of a cluster that has not started, has the default epoch and names no
/// voters: every scheduler in the settings may vote in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The view's place in the order of all views.
    pub epoch: Epoch,
    /// Ordered by their ordinals.
    pub voters: Vec<ProcessId>,
}

impl View {
    /// Whether this is the bootstrap view.
    pub fn is_bootstrap(&self) -> bool {
        self.epoch == Epoch::default()
    }
}
