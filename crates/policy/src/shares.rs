//! Which jobs lie within their tenants' shares, as far as one of many dispatchers can tell.

use crate::measure::DecayingSum;
use crate::{Millis, Settings, Tenant};

/// Memory of arrival and work rates.
pub const RATE_TIME: Millis = 10_000.0;
/// Arrivals that the assumption of an even spread weighs as much as.
const PRIOR: f64 = 5.0;
/// Tenants use less than their share, so a part of all traffic that is seen through them is larger.
const PART_MARGIN: f64 = 1.4;
/// Of its quota a tenant may bring at once and stay within its share.
const BURST: Millis = 1_500.0;

struct Meter {
    quota: f64,
    tokens: f64,
    tokens_at: Millis,
    arrivals: DecayingSum,
}

/// The tenants' quotas, scaled to the part of all traffic that this dispatcher sees.
pub struct Shares {
    meters: Vec<Meter>,
    even: f64,
    booted: Millis,
}

impl Shares {
    /// Meters that have seen nothing yet.
    pub fn new(now: Millis, settings: &Settings) -> Self {
        let meter = |tenant: &Tenant| Meter {
            quota: tenant.quota_per_second,
            tokens: f64::INFINITY,
            tokens_at: now,
            arrivals: DecayingSum::default(),
        };
        let even = 1.0 / f64::from(settings.schedulers.max(1));
        Shares { meters: settings.tenants.iter().map(meter).collect(), even, booted: now }
    }

    /// Takes a token of the tenant's quota, if there is one.
    pub fn within(&mut self, now: Millis, tenant: usize) -> bool {
        self.meters[tenant].arrivals.add(now, RATE_TIME, 1.0);
        let part = self.traffic_part(now);
        let meter = &mut self.meters[tenant];
        if meter.quota <= 0.0 {
            return true;
        }
        let rate = meter.quota * part / 1_000.0;
        let most = (rate * BURST).max(2.0);
        meter.tokens = (meter.tokens + rate * (now - meter.tokens_at)).min(most);
        meter.tokens_at = now;
        let within = meter.tokens >= 1.0;
        meter.tokens -= f64::from(u8::from(within));
        within
    }

    /// The time that a fading count stands for: its life, or less soon after the start.
    pub fn seen_for(&self, now: Millis) -> Millis {
        RATE_TIME * (1.0 - (-(now - self.booted) / RATE_TIME).exp())
    }

    /// This dispatcher's part of all traffic, seen through the middle one of the tenants' rates over quotas.
    fn traffic_part(&self, now: Millis) -> f64 {
        let seen_for = self.seen_for(now);
        let part = |meter: &Meter| {
            let per_ms = meter.quota / 1_000.0;
            (meter.arrivals.value_at(now, RATE_TIME) + PRIOR) / (per_ms * seen_for + PRIOR / self.even)
        };
        let mut parts: Vec<f64> = self.meters.iter().filter(|m| m.quota > 0.0).map(part).collect();
        parts.sort_by(f64::total_cmp);
        parts.get(parts.len() / 2).map_or(self.even, |middle| (middle * PART_MARGIN).min(1.0))
    }
}
