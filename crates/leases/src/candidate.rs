//! State of a voter that stands for election: its campaign, and when it goes on.

use crate::{AcceptedView, Ballot, Micros, ProcessId, View};
use std::collections::BTreeMap;

/// An attempt to be elected, and the leadership that follows from it: it ends with the view or with a later ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Campaign {
    pub(crate) ballot: Ballot,
    /// Not elected by then, the candidate begins another campaign with a higher ballot.
    pub(crate) deadline: Micros,
    /// Voters that promised, and the next view that each has accepted.
    pub(crate) promises: BTreeMap<ProcessId, Option<AcceptedView>>,
    /// Voters that granted the lease, and when it was last requested from each of them.
    pub(crate) lease_grants: BTreeMap<ProcessId, Micros>,
    pub(crate) proposal: Option<Proposal>,
    /// Whether a majority has promised.
    pub(crate) elected: bool,
}

impl Campaign {
    pub(crate) fn new(ballot: Ballot, deadline: Micros) -> Campaign {
        Campaign {
            ballot,
            deadline,
            promises: BTreeMap::new(),
            lease_grants: BTreeMap::new(),
            proposal: None,
            elected: false,
        }
    }
}

/// The next view as this process proposes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposal {
    pub(crate) view: View,
    pub(crate) accepted_by: Vec<ProcessId>,
}

/// State of a candidate, and of the leader that it becomes. Default in a process that has never been one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Candidate {
    pub(crate) campaign: Option<Campaign>,
    /// The highest ballot counter known in this view.
    pub(crate) highest_counter: u32,
    /// This process has given another candidate time since its own last campaign.
    pub(crate) deferred: bool,
    /// When the campaign, or the heartbeat of the leader that follows from it, goes on.
    pub(crate) next_step_at: Micros,
}

impl Candidate {
    /// Another view begins: campaigns and ballots start over.
    pub(crate) fn enter_view(&mut self, next_step_at: Micros) {
        self.campaign = None;
        self.highest_counter = 0;
        self.next_step_at = next_step_at;
    }

    /// Lets a campaign begin after `delay`, if none is due earlier or has begun.
    pub(crate) fn schedule_campaign(&mut self, now: Micros, delay: Micros) {
        if self.campaign.is_none() {
            self.next_step_at = self.next_step_at.min(now + delay);
        }
    }

    /// A campaign that a majority has promised to support.
    pub(crate) fn elected_campaign(&mut self) -> Option<&mut Campaign> {
        self.campaign.as_mut().filter(|campaign| campaign.elected)
    }
}
