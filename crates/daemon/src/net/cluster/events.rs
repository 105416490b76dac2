//! Log lines: one for each event of membership and leases, with its name and fields.

use super::roles;
use brackenledge_leases::{Event, LeadershipLoss, Role, Term, View};
use brackenledge_membership::ProcessId;
use slog::{Logger, info, warn};

/// Ordinals, separated by commas.
pub fn ordinals(processes: &[ProcessId]) -> String {
    processes.iter().map(|process| process.ordinal.to_string()).collect::<Vec<_>>().join(",")
}

pub fn member_up(log: &Logger, process: ProcessId) {
    info!(log, "member_up"; "ordinal" => process.ordinal, "incarnation" => process.incarnation);
}

pub fn member_down(log: &Logger, process: ProcessId) {
    info!(log, "member_down"; "ordinal" => process.ordinal, "incarnation" => process.incarnation);
}

/// A newer process of the same ordinal has started.
pub fn process_superseded(log: &Logger) {
    info!(log, "process_superseded");
}

/// The newer process is gone, and this one takes part again.
pub fn process_rejoined(log: &Logger) {
    info!(log, "process_rejoined");
}

/// The epoch can't be stored: this process takes no part in the cluster until it can.
pub fn epoch_store_failed(log: &Logger, error: &dyn std::error::Error) {
    warn!(log, "epoch_store_failed"; "setting" => "tier.state_dir", "error" => %error);
}

/// This process holds a role under a term, or holds it no longer.
pub fn role_lease_changed(log: &Logger, role: Role, term: Option<Term>) {
    let term = term.map_or("none".into(), |term| term.to_string());
    info!(log, "role_lease_changed"; "role" => roles::name(role), "term" => term);
}

/// An event of the leases.
pub fn lease_event(log: &Logger, event: Event) {
    match event {
        Event::ViewAbandoned { epoch, live_voters } => {
            info!(log, "view_abandoned"; "epoch" => %epoch, "live_voters" => live_voters);
        }
        Event::ViewEntered(View { epoch, voters }) => {
            info!(log, "view_entered"; "epoch" => %epoch, "voters" => ordinals(&voters));
        }
        Event::ViewChosen(View { epoch, voters }) => {
            info!(log, "view_chosen"; "epoch" => %epoch, "voters" => ordinals(&voters));
        }
        Event::LeadershipAcquired(epoch) => info!(log, "leadership_acquired"; "epoch" => %epoch),
        Event::LeadershipLost(LeadershipLoss::LeaseExpired) => {
            info!(log, "leadership_lost"; "reason" => "lease_expired");
        }
        Event::LeadershipLost(LeadershipLoss::LaterBallot(process)) => {
            info!(log, "leadership_lost"; "reason" => "later_ballot", "leader" => process.ordinal);
        }
        Event::LeaderChanged(process) => info!(log, "leader_changed"; "leader" => process.ordinal),
        Event::RoleLeaseGranted { role, term, holder } => {
            let name = roles::name(role);
            info!(log, "role_lease_granted"; "role" => name, "holder" => holder.ordinal, "term" => %term);
        }
        Event::RoleLeaseReleased { role, holder } => {
            info!(log, "role_lease_released"; "role" => roles::name(role), "holder" => holder.ordinal);
        }
        Event::RoleLeaseAcquired { role, term } => {
            info!(log, "role_lease_acquired"; "role" => roles::name(role), "term" => %term);
        }
        Event::RoleLeaseExpired(role) => info!(log, "role_lease_expired"; "role" => roles::name(role)),
    }
}
