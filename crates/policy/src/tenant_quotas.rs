//! Decides whether a job is within its tenant's quota.
//!
//! A quota applies to all schedulers together. Each scheduler estimates the fraction of all traffic that it
//! receives, and enforces that fraction of each quota with a token bucket.

use crate::measure::DecayingSum;
use crate::settings::{Settings, Tenant};
use crate::token_bucket::TokenBucket;
use crate::units::Millis;

/// Measured rates of jobs and work decay to 1/e in this time.
pub(crate) const RATE_DECAY_TIME: Millis = 10_000.0;
/// Weight, in jobs, of the prior assumption that traffic is spread evenly over the schedulers.
const PRIOR_JOBS: f64 = 5.0;
/// Tenants use less than their quotas, so the fraction of traffic that is estimated from the quotas is too
/// small by about this factor.
const FRACTION_MARGIN: f64 = 1.4;
/// Burst that is within a tenant's quota: as many jobs as the quota allows in this time.
const BURST_DURATION: Millis = 1_500.0;
/// Minimum size of a token bucket, in jobs.
const MIN_BUCKET_SIZE: f64 = 2.0;

/// One tenant's token bucket and measured arrivals.
struct TenantMeter {
    quota_per_second: f64,
    bucket: TokenBucket,
    arrivals: DecayingSum,
}

/// The tenants' quotas, scaled to the fraction of all traffic that this scheduler receives.
pub(crate) struct TenantQuotas {
    meters: Vec<TenantMeter>,
    /// The fraction of all traffic that this scheduler receives if traffic is spread evenly.
    even_fraction: f64,
    started_at: Millis,
}

impl TenantQuotas {
    /// Creates the quotas with full token buckets.
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

    /// Counts an arriving job of a tenant and takes one of its tokens. Returns whether the job is within the
    /// quota, which it always is for a tenant without one.
    pub(crate) fn take_token(&mut self, now: Millis, tenant: usize) -> bool {
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

    /// The length of the time window that a decaying count represents: the decay time, or less shortly after
    /// the start.
    pub(crate) fn effective_window(&self, now: Millis) -> Millis {
        RATE_DECAY_TIME * (1.0 - (-(now - self.started_at) / RATE_DECAY_TIME).exp())
    }

    /// Estimates the fraction of all traffic that this scheduler receives: the median, over the tenants with
    /// a quota, of the ratio of a tenant's arrivals here to its quota.
    fn traffic_fraction(&self, now: Millis) -> f64 {
        let window = self.effective_window(now);
        let fraction = |meter: &TenantMeter| {
            let quota_per_ms = meter.quota_per_second / 1_000.0;
            let expected = quota_per_ms * window + PRIOR_JOBS / self.even_fraction;
            (meter.arrivals.value_at(now, RATE_DECAY_TIME) + PRIOR_JOBS) / expected
        };
        let with_quota = self.meters.iter().filter(|meter| meter.quota_per_second > 0.0);
        let mut fractions: Vec<f64> = with_quota.map(fraction).collect();
        fractions.sort_by(f64::total_cmp);
        let median = fractions.get(fractions.len() / 2);
        median.map_or(self.even_fraction, |median| (median * FRACTION_MARGIN).min(1.0))
    }
}
