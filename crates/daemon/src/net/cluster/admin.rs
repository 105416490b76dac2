//! Replies to the admin calls `MEMBERS` and `DUTIES`. Operators' scripts parse them, so their field names are
//! part of the interface and differ from the names in the source.

#[cfg(test)]
mod tests;

use super::{Cluster, events::ordinals, micros, roles};
use brackenledge_leases::{Role, RoleStatus, ViewStatus};
use brackenledge_membership::{MemberState, ProcessId};

impl Cluster {
    /// The reply to `MEMBERS`: a line with the current view, then one line per known process.
    pub fn members_lines(&self) -> Vec<String> {
        let status = self.leases.status(micros());
        let mut lines = vec![self.view_line(status.view.as_ref(), status.leader)];
        let me = self.membership.me();
        let own_state = (me, MemberState::Alive);
        let mut members: Vec<(ProcessId, &str)> = (self.membership.peers().chain([own_state]))
            .map(|(process, state)| (process, state_name(state)))
            .collect();
        members.sort();
        lines.extend(members.into_iter().map(|(process, state)| {
            let listed = status.member_list.members.contains(process);
            let (ordinal, incarnation) = (process.ordinal, process.incarnation);
            let own = if process == me { "yes" } else { "no" };
            format!("member={ordinal} boot={incarnation} standing={state} on_roll={listed} self={own}")
        }));
        lines
    }

    fn view_line(&self, status: Option<&ViewStatus>, leader: Option<ProcessId>) -> String {
        let active = self.reported_active_members;
        let Some(ViewStatus { view, age }) = status else {
            return format!("view=none age_ms=0 steward=none voters=none living={active}");
        };
        let leader = leader.map_or("none".into(), |process| process.ordinal.to_string());
        let (epoch, age, voters) = (view.epoch, age / 1_000, ordinals(&view.voters));
        format!("view={epoch} age_ms={age} steward={leader} voters={voters} living={active}")
    }

    /// The reply to `DUTIES`: one line per role, then a line of counters.
    pub fn duties_lines(&self) -> Vec<String> {
        let status = self.leases.status(micros());
        let roles = 0..roles::count(&self.operations);
        let mut lines: Vec<String> =
            roles.map(|role| role_line(role, status.roles.get(&role).copied())).collect();
        let membership_counts = self.membership.counts();
        lines.push(format!(
            "deeds_accepted={} deeds_refused={} sums_withheld={} nonsense={} dropped={} given_up_by_mistake={}",
            self.fencing_guard.accepted,
            self.fencing_guard.rejected,
            self.withheld_aggregates,
            self.malformed_datagrams + membership_counts.malformed,
            self.leases.dropped_messages,
            membership_counts.false_positives
        ));
        lines
    }
}

fn role_line(role: Role, status: Option<RoleStatus>) -> String {
    let name = roles::name(role);
    let Some(RoleStatus { term, holder, own_lease_remaining }) = status else {
        return format!("duty={name} owner=none term=none own_lease_left_ms=none");
    };
    let remaining = own_lease_remaining.map_or("none".into(), |micros| (micros / 1_000).to_string());
    format!("duty={name} owner={} term={term} own_lease_left_ms={remaining}", holder.ordinal)
}

/// The value of the field `standing` for a member's state.
fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Down => "gone",
    }
}
