//! Which jobs lie within their tenants' quotas, as far as one of many schedulers can tell.
//!
//! A quota holds for all schedulers together. Each one measures what fraction of all traffic it sees, and admits that
//! fraction of each quota by a token bucket.

use crate::measure::DecayingSum;
use crate::settings::{Settings, Tenant};
use crate::token_bucket::TokenBucket;
use crate::units::Millis;

/// Counts of jobs and work decay to 1/e in this time.
pub(crate) const RATE_DECAY_TIME: Millis = 10_000.0;
/// Jobs that the assumption of evenly spread traffic weighs as much as.
const PRIOR_JOBS: f64 = 5.0;
/// Tenants use less than their quotas, so that the fraction of traffic estimated from them is too small by about this.
const FRACTION_MARGIN: f64 = 1.4;
/// What a tenant may bring at once and stay within its quota, as the time in which its quota allows that much.
const BURST_DURATION: Millis = 1_500.0;
/// A bucket holds at least this many tokens.
const MIN_BUCKET_SIZE: f64 = 2.0;

/// One tenant's token bucket, and its measured traffic.
struct TenantMeter {
    quota_per_second: f64,
    bucket: TokenBucket,
    arrivals: DecayingSum,
}

/// The tenants' quotas, scaled to the fraction of all traffic that this scheduler sees.
pub(crate) struct TenantQuotas {
    meters: Vec<TenantMeter>,
    /// This scheduler's fraction if traffic is spread evenly.
    even_fraction: f64,
    started_at: Millis,
}

impl TenantQuotas {
    /// Quotas before any job arrived.
    pub(crate) fn new(now: Millis, settings: &Settings) -> Self {
        let meter = |tenant: &Tenant| TenantMeter {
            quota_per_second: tenant.quota_per_second,
            bucket: TokenBucket::full(now),
            arrivals: DecayingSum::default(),
        };
        TenantQuotas {
            meters: settings.tenants.iter().map(meter).collect(),
            even_fraction: 1.0 / f64::from(settings.schedulers.max(1)),
            started_at: now,
        }
    }

    /// Counts a job of a tenant and takes one of its tokens; whether there was one.
    pub(crate) fn admit(&mut self, now: Millis, tenant: usize) -> bool {
        self.meters[tenant].arrivals.add(now, RATE_DECAY_TIME, 1.0);
        let fraction = self.traffic_fraction(now);
        let meter = &mut self.meters[tenant];
        if meter.quota_per_second <= 0.0 {
            return true;
        }
        let rate = meter.quota_per_second * fraction / 1_000.0;
        let bucket_size = (rate * BURST_DURATION).max(MIN_BUCKET_SIZE);
        let within_quota = meter.bucket.refill(now, rate, bucket_size) >= 1.0;
        if within_quota {
            meter.bucket.take(1.0);
        }
        within_quota
    }

    /// The time that a decaying count stands for: its decay time, or less soon after the start.
    pub(crate) fn counted_duration(&self, now: Millis) -> Millis {
        RATE_DECAY_TIME * (1.0 - (-(now - self.started_at) / RATE_DECAY_TIME).exp())
    }

    /// The fraction of all traffic that arrives here: the median, over the tenants, of what arrives here to their
    /// quotas.
    fn traffic_fraction(&self, now: Millis) -> f64 {
        let duration = self.counted_duration(now);
        let fraction = |meter: &TenantMeter| {
            let quota_per_ms = meter.quota_per_second / 1_000.0;
            let expected = quota_per_ms * duration + PRIOR_JOBS / self.even_fraction;
            (meter.arrivals.value_at(now, RATE_DECAY_TIME) + PRIOR_JOBS) / expected
        };
        let with_quota = self.meters.iter().filter(|meter| meter.quota_per_second > 0.0);
        let mut fractions: Vec<f64> = with_quota.map(fraction).collect();
        fractions.sort_by(f64::total_cmp);
        let median = fractions.get(fractions.len() / 2);
        median.map_or(self.even_fraction, |median| (median * FRACTION_MARGIN).min(1.0))
    }
}
