//! Default settings of simulated schedulers.

use brackenledge_policy::{Class, Effect, Settings, Tenant};

/// Settings with one class, whose jobs may be executed more than once, two tenants, and workers that can be
/// overloaded while they warm up.
pub fn settings() -> Settings {
    let class = Class { latency_objective: 300.0, stretch: 2.0, deadline: 5_000.0, ..Class::default() };
    Settings {
        classes: vec![Class { effect: Effect::Repeatable, ..class }],
        tenants: vec![
            Tenant { quota_fraction: 0.6, quota_per_second: 60.0 },
            Tenant { quota_fraction: 0.4, quota_per_second: 40.0 },
        ],
        peer_messages: true,
        reports_job_start: true,
        starts_in_order: true,
        max_attempts: 4,
        initial_capacity_fraction: 0.25,
        warm_up_duration: 8_000.0,
        overload_multiple: 3.0,
        overload_duration: 1_000.0,
        ..Settings::default()
    }
}
