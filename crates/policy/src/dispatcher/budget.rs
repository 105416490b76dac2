//! The budget: a limit on the slots that this scheduler's attempts may occupy. It is adjusted by AIMD
//! (additive increase, multiplicative decrease) from the delay until jobs start, as in "Adaptive Concurrency
//! on a Multi-Tenant vLLM Gateway", called the paper below. Constants in slots per worker hold for all
//! schedulers together; each scheduler has a share of them.

use super::*;

/// Lower limit of the budget: a lower one would not reduce the load of any worker.
const MIN_SLOTS_PER_WORKER: f64 = 1.0;
/// Upper limit of the budget: it grows under light load, and the next burst may use all of it at once.
const MAX_SLOTS_PER_WORKER: f64 = 8.0;
/// Interval between adjustments. The paper's 5 s would be a tenth of the usual duration of an overload here.
const ADJUST_INTERVAL: Millis = 1_000.0;
/// Delays older than this are ignored, as they no longer describe the current load.
const DELAY_WINDOW: Millis = 6_000.0;
/// Adjustments after a cut before the next cut is possible; with more, bursts would end before the budget has
/// adapted to them.
const HOLD_AFTER_CUT: u32 = 1;
/// Quantile of the delays that the budget follows. The paper's 99th percentile would be the single worst
/// delay in a window with few jobs.
const DELAY_QUANTILE: f64 = 0.8;
/// The budget and the fraction of it for jobs of reduced weight each grow while the quantile that they follow
/// is below this. Delays are multiples of their jobs' slack.
const GROW_BELOW: f64 = 0.8;
/// Either of them is cut when its quantile is above this.
const CUT_ABOVE: f64 = 1.2;
/// Factor of a cut. The paper's 0.5 is too much where all schedulers cut at the same time.
const CUT_FACTOR: f64 = 0.8;
/// Additive growth in slots per worker.
const GROWTH: f64 = 0.5;
/// Least growth of a budget that made jobs of full weight wait, as a fraction of its size.
const HELD_BACK_GROWTH: f64 = 0.25;
/// Fewest delays in the window that justify a cut.
const MIN_DELAYS: usize = 20;
/// Slots that are never cut, per slot that the jobs within quotas need on average ...
const FLOOR_PER_MEAN: f64 = 0.8;
/// ... and per square root of that average.
const FLOOR_PER_SQRT_MEAN: f64 = 1.5;
/// Initial and largest fraction of the budget that jobs of reduced weight (over quota or late) may use.
const MAX_OVER_QUOTA_FRACTION: f64 = 0.7;
/// Additive growth of that fraction.
const OVER_QUOTA_GROWTH: f64 = 0.05;
/// Factor by which that fraction is cut.
const OVER_QUOTA_CUT_FACTOR: f64 = 0.5;
/// Quantile of the delays of full-weight jobs that this fraction follows: there is spare capacity as long as
/// these jobs start in time.
const OVER_QUOTA_QUANTILE: f64 = 0.95;

/// A new scheduler starts with the largest budget: with a low one it would reject the load that it takes over
/// when it replaces other schedulers.
pub(super) fn initial_budget(now: Millis, settings: &Settings) -> SlotBudget {
    let sharing_schedulers = if settings.peer_messages { 1.0 } else { f64::from(settings.schedulers) };
    SlotBudget {
        slots_per_worker: MAX_SLOTS_PER_WORKER / sharing_schedulers,
        adjust_at: now + ADJUST_INTERVAL,
        over_quota_fraction: MAX_OVER_QUOTA_FRACTION,
        ..SlotBudget::default()
    }
}

impl Dispatcher {
    /// Whether an attempt fits into the budget or, for a job of reduced weight, into the part of the budget
    /// that such jobs may use.
    pub(super) fn budget_admits(&self, slots: f64, has_reduced_weight: bool) -> bool {
        let SlotBudget { used_slots, floor, over_quota_fraction, .. } = self.budget;
        let total = self.budget.slots_per_worker * self.ready.ids.len() as f64;
        let limit = if has_reduced_weight { over_quota_fraction * total } else { total.max(floor) };
        used_slots == 0.0 && !has_reduced_weight || used_slots + slots <= limit
    }

    /// Records how long a job waited at a worker, as a multiple of its slack. Only jobs of full weight count.
    pub(super) fn record_start_delay(&mut self, now: Millis, has_reduced_weight: bool, delay: f64) {
        if !has_reduced_weight && delay.is_finite() {
            self.budget.delays.push(now, delay);
        }
    }

    /// Records the expected work, in slot-milliseconds, of an arriving job within its tenant's quota.
    pub(super) fn record_quota_work(&mut self, now: Millis, work: f64) {
        let budget = &mut self.budget;
        budget.quota_work.add(now, RATE_DECAY_TIME, work);
        let mean = budget.quota_work.value / self.quotas.effective_window(now).max(ADJUST_INTERVAL);
        budget.floor = FLOOR_PER_MEAN * mean + FLOOR_PER_SQRT_MEAN * mean.sqrt();
    }

    pub(super) fn adjust_budget(&mut self, now: Millis) {
        self.budget.adjust_at = now + ADJUST_INTERVAL * (0.9 + 0.2 * self.rng.f64());
        let has_queued = self.tenant_queues.iter().any(TenantQueue::has_jobs);
        let budget = &mut self.budget;
        let delays = budget.delays.since(now - DELAY_WINDOW);
        let has_enough_delays = delays.len() >= MIN_DELAYS;
        let [delay, tail_delay] = quantiles(delays, [DELAY_QUANTILE, OVER_QUOTA_QUANTILE]);
        if tail_delay > CUT_ABOVE && has_enough_delays {
            budget.over_quota_fraction *= OVER_QUOTA_CUT_FACTOR;
        } else if tail_delay < GROW_BELOW {
            let grown = budget.over_quota_fraction + OVER_QUOTA_GROWTH;
            budget.over_quota_fraction = grown.min(MAX_OVER_QUOTA_FRACTION);
        }
        let schedulers = f64::from(self.settings.schedulers);
        let held_back = std::mem::take(&mut budget.held_back);
        if delay > CUT_ABOVE && budget.hold == 0 && has_enough_delays {
            let min_slots = MIN_SLOTS_PER_WORKER / schedulers;
            budget.slots_per_worker = (budget.slots_per_worker * CUT_FACTOR).max(min_slots);
            budget.hold = HOLD_AFTER_CUT;
        } else {
            if delay < GROW_BELOW && (has_queued || budget.used_slots > 0.0) {
                // A budget that made jobs wait while workers had capacity is far too small, so that it grows
                // in proportion to its size.
                let growth = if held_back { HELD_BACK_GROWTH * budget.slots_per_worker } else { 0.0 };
                budget.slots_per_worker += growth.max(GROWTH / schedulers);
            }
            budget.hold = budget.hold.saturating_sub(1);
        }
        // The maximum is shared by the active schedulers, so that the remaining ones take over the share of
        // those that stopped. In a large cluster the peers are not known (`direct_peers` is 0), and the
        // maximum is not divided.
        let peers = self.peer_loads.direct_peers() as f64;
        let active = if self.settings.peer_messages { peers + 1.0 } else { schedulers };
        let max_slots = MAX_SLOTS_PER_WORKER / active.min(schedulers);
        budget.slots_per_worker = budget.slots_per_worker.min(max_slots);
    }
}
