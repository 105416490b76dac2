//! Status snapshot of one process, for operators.

use crate::{LeaseManager, MemberList, Micros, ProcessId, Role, Term, View};
use std::collections::BTreeMap;

/// State of the cluster as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// `None` if this process is in no view, because it has not joined one or has abandoned it.
    pub view: Option<ViewStatus>,
    /// The last known leader of the view, which may be this process; its lease may have expired. `None` if no
    /// leader is known in this view yet.
    pub leader: Option<ProcessId>,
    /// Time left of the leader's lease. `None` if this process is not the leader.
    pub leader_lease_remaining: Option<Micros>,
    /// The last member list received, or made by this process as the leader.
    pub member_list: MemberList,
    /// Roles whose last holder is known. Its lease may have expired.
    pub roles: BTreeMap<Role, RoleStatus>,
}

/// The view of a process, and how recent its information is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewStatus {
    /// The view.
    pub view: View,
    /// Time since the last update from the view's leader, or by this process as the leader. Before the first
    /// one: time since this process entered the view.
    pub age: Micros,
}

/// Last known lease of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleStatus {
    /// Term of the lease.
    pub term: Term,
    /// Its holder.
    pub holder: ProcessId,
    /// Time left of the lease. `None` if this process does not hold it.
    pub own_lease_remaining: Option<Micros>,
}

impl LeaseManager {
    /// Returns a status snapshot. Times are relative to `now`.
    pub fn status(&self, now: Micros) -> Status {
        Status {
            view: self.view().map(|view| ViewStatus {
                view: view.clone(),
                age: now.saturating_sub(self.last_leader_contact),
            }),
            leader: self.known_leader.map(|leader| leader.process),
            leader_lease_remaining: self.leadership.lease(now).map(|lease| lease.expires_at - now),
            member_list: self.member_list.clone(),
            roles: self.role_leases.status(now),
        }
    }
}
