//! A snapshot of one process's knowledge, for operators.

use crate::{LeaseManager, MemberList, Micros, ProcessId, Role, Term, View};
use std::collections::BTreeMap;

/// What one process knows of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The view, if the cluster has one.
    pub view: Option<ViewStatus>,
    /// The leader that sent the last view update.
    pub leader: Option<ProcessId>,
    /// Time left of this process's own lease as the leader.
    pub leader_lease_remaining: Option<Micros>,
    /// The member list.
    pub member_list: MemberList,
    /// Roles whose holder is known.
    pub roles: BTreeMap<Role, RoleStatus>,
}

/// The view that a process is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewStatus {
    /// The view.
    pub view: View,
    /// Time since the last update from the view's leader.
    pub age: Micros,
}

/// What is known of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleStatus {
    /// Term of the lease.
    pub term: Term,
    /// Its holder.
    pub holder: ProcessId,
    /// Time left of the lease, if this process holds it.
    pub own_lease_remaining: Option<Micros>,
}

impl LeaseManager {
    /// A snapshot for operators.
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
