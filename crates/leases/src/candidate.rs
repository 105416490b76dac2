//! State of a voter that stands for election: its campaign, and when the next step of the campaign is due.

use crate::{AcceptedView, Ballot, Micros, ProcessId, View};
use std::collections::BTreeMap;

/// An attempt to be elected, and the leadership that results from it. It ends when another view is entered, a
/// voter has promised a later ballot, this process defers to another candidate, or the lease is lost or
/// released. Before the election, it also ends at its deadline, or when a voter reports that another process
/// holds the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Campaign {
    pub(crate) ballot: Ballot,
    /// If the candidate is not elected by this time, it begins another campaign with a higher ballot.
    pub(crate) deadline: Micros,
    /// Voters that promised, each with the next view that it has accepted, if any.
    pub(crate) promises: BTreeMap<ProcessId, Option<AcceptedView>>,
    /// Voters that granted the lease, each with the time of the latest request that it granted.
    pub(crate) lease_grants: BTreeMap<ProcessId, Micros>,
    /// `None` as long as no next view has been proposed or must be.
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

/// The next view that this process proposes, and the voters that have accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposal {
    pub(crate) view: View,
    pub(crate) accepted_by: Vec<ProcessId>,
}

/// State of a candidate, and of the leader that it becomes. Has its default value in a process that has never
/// been a candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Candidate {
    pub(crate) campaign: Option<Campaign>,
    /// The highest counter, in this view, of this process's own ballots and of those that rejections have
    /// reported.
    pub(crate) highest_counter: u32,
    /// Whether this process has deferred to another candidate since its own last campaign.
    pub(crate) deferred: bool,
    /// When the next step of the campaign, or of the resulting leadership, is due.
    pub(crate) next_step_at: Micros,
}

impl Candidate {
    /// Resets the campaign and the ballot counter for another view.
    pub(crate) fn enter_view(&mut self, next_step_at: Micros) {
        self.campaign = None;
        self.highest_counter = 0;
        self.next_step_at = next_step_at;
    }

    /// Schedules a campaign after `delay`, unless one is in progress or due earlier.
    pub(crate) fn schedule_campaign(&mut self, now: Micros, delay: Micros) {
        if self.campaign.is_none() {
            self.next_step_at = self.next_step_at.min(now + delay);
        }
    }

    /// The campaign, if a majority has promised.
    pub(crate) fn elected_campaign(&mut self) -> Option<&mut Campaign> {
        self.campaign.as_mut().filter(|campaign| campaign.elected)
    }
}
