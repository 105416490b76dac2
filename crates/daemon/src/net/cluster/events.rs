//! Structured log lines for events of membership and leases.

use super::roles;
use brackenledge_leases::{Event, LeadershipLoss, Role, Term, View};
use brackenledge_membership::ProcessId;
use slog::{Logger, info, warn};

/// Formats the ordinals of processes as a comma-separated list.
pub fn ordinals(processes: &[ProcessId]) -> String {
    processes.iter().map(|process| process.ordinal.to_string()).collect::<Vec<_>>().join(",")
}

pub fn member_up(log: &Logger, process: ProcessId) {
    info!(log, "member_up"; "ordinal" => process.ordinal, "incarnation" => process.incarnation);
}

pub fn member_down(log: &Logger, process: ProcessId) {
    info!(log, "member_down"; "ordinal" => process.ordinal, "incarnation" => process.incarnation);
}

/// A process with the same ordinal and a later incarnation was detected.
pub fn process_superseded(log: &Logger) {
    info!(log, "process_superseded");
}

/// The process that superseded this one is gone, and this process participates in the cluster again.
pub fn process_rejoined(log: &Logger) {
    info!(log, "process_rejoined");
}

/// The epoch can't be stored. This process sends no lease messages until a write succeeds.
pub fn epoch_store_failed(log: &Logger, error: &dyn std::error::Error) {
    warn!(log, "epoch_store_failed"; "setting" => "tier.state_dir", "error" => %error);
}

/// This process acquired the lease of a role under `term`, or lost it (`None`).
pub fn role_lease_changed(log: &Logger, role: Role, term: Option<Term>) {
    let term = term.map_or("none".into(), |term| term.to_string());
    info!(log, "role_lease_changed"; "role" => roles::name(role), "term" => term);
}

/// Logs an event of the lease manager under its own name.
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
