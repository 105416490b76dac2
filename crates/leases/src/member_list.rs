//! The list of members. The leader broadcasts it in parts, under a term.

use crate::leader::LeaderLease;
use crate::message::MAX_MEMBERS_PER_PART;
use crate::{LeaseManager, Members, Message, Micros, ProcessId, Term};
use std::collections::BTreeMap;

/// A changed list is sent with this many consecutive heartbeats, since a part may be lost.
const REPEATS_OF_CHANGED_LIST: u8 = 4;
/// An unchanged list is sent with one in this many heartbeats.
const HEARTBEATS_PER_UNCHANGED_LIST: u64 = 10;

/// The members of the cluster according to a leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct MemberList {
    /// Term under which the leader made the list. A later list has a higher term.
    pub term: Term,
    /// Empty before the first list has been received.
    pub members: Members,
}

/// Received parts of a list that is not complete yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PartialMemberList {
    term: Term,
    parts: BTreeMap<u8, Vec<ProcessId>>,
}

/// When the leader next sends its list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MemberListBroadcast {
    next_at: Micros,
    /// Number of consecutive heartbeats that still send the list.
    repeats: u8,
}

impl MemberListBroadcast {
    /// For a new leader: sends the list at once, and again with the next heartbeats.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.next_at = now;
        self.repeats = REPEATS_OF_CHANGED_LIST;
    }

    /// Schedules the next broadcast after one at `now`.
    fn reschedule(&mut self, now: Micros, changed: bool, heartbeat_interval: Micros) {
        self.repeats = if changed { REPEATS_OF_CHANGED_LIST } else { self.repeats.saturating_sub(1) };
        let heartbeats = if self.repeats > 0 { 1 } else { HEARTBEATS_PER_UNCHANGED_LIST };
        self.next_at = now + heartbeats * heartbeat_interval;
    }
}

impl LeaseManager {
    /// As the leader: updates the list, and sends it if it has changed or is due.
    pub(crate) fn update_member_list(&mut self, now: Micros, lease: LeaderLease) {
        let members = self.target_members(now);
        let changed = members != self.member_list.members;
        let broadcast = &mut self.leadership.member_list_broadcast;
        if !changed && now < broadcast.next_at {
            return;
        }
        broadcast.reschedule(now, changed, self.settings.heartbeat_interval);
        let Term { epoch, ballot, .. } = self.member_list.term;
        if changed || (epoch, ballot) != (lease.epoch, lease.ballot) {
            let term = self.leadership.next_term(lease);
            self.member_list = MemberList { term, members };
        }
        self.broadcast_member_list();
    }

    fn broadcast_member_list(&mut self) {
        let (from, term) = (self.me, self.member_list.term);
        let members: Vec<ProcessId> = self.member_list.members.iter().collect();
        let chunks = members.chunks(MAX_MEMBERS_PER_PART);
        let parts = chunks.len() as u8;
        for (part, members) in chunks.enumerate() {
            let (part, members) = (part as u8, members.to_vec());
            self.broadcast(Message::MemberListPart { from, term, part, parts, members });
        }
    }

    pub(crate) fn handle_member_list_part(
        &mut self,
        from: ProcessId,
        term: Term,
        part: u8,
        parts: u8,
        members: Vec<ProcessId>,
    ) {
        let partial = &mut self.partial_member_list;
        let by_leader = self.known_leader.is_some_and(|leader| leader.process == from);
        if !by_leader || term <= self.member_list.term || term < partial.term {
            return;
        }
        if term > partial.term {
            *partial = PartialMemberList { term, parts: BTreeMap::new() };
        }
        partial.parts.insert(part, members);
        if partial.parts.len() == usize::from(parts) {
            let members = std::mem::take(&mut partial.parts).into_values().flatten().collect();
            self.member_list = MemberList { term, members };
        }
    }
}
