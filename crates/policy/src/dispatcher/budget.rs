//! The budget of slots that attempts may occupy, adjusted by the delay until jobs start: AIMD as in "Adaptive
//! Concurrency on a Multi-Tenant vLLM Gateway", whose figures are called published here. Figures in slots per
//! worker are for all schedulers together: each has its part of them.
use super::*;

const MIN_SLOTS_PER_WORKER: f64 = 1.0; // cutting below it relieves no worker
const MAX_SLOTS_PER_WORKER: f64 = 8.0; // what light load makes of the budget meets the next burst
const ADJUST_INTERVAL: Millis = 1_000.0; // the published 5 s is a tenth of how long overload lasts here
const DELAY_WINDOW: Millis = 6_000.0; // delays older than this say nothing about the present
const HOLD_AFTER_CUT: u32 = 1; // adjustments; with more, bursts end before the budget fits them
const DELAY_QUANTILE: f64 = 0.8; // the published 99th percentile is the single worst of a quiet window
const GROW_BELOW: f64 = 0.8; // latency objectives
const CUT_ABOVE: f64 = 1.2; // latency objectives
const CUT_FACTOR: f64 = 0.8; // the published half is too much where every scheduler cuts at once
const GROWTH: f64 = 0.5; // slots per worker
const HELD_BACK_GROWTH: f64 = 0.25; // as a fraction of a budget that held jobs back
const MIN_DELAYS: usize = 20; // before a cut
const FLOOR_PER_MEAN: f64 = 0.8; // slots that are never cut, per slot needed on average within quotas,
const FLOOR_PER_ROOT: f64 = 1.5; // and per square root of that average
const MAX_OVER_QUOTA_FRACTION: f64 = 0.7; // of the budget, for jobs beyond quotas: at most and at first
const OVER_QUOTA_GROWTH: f64 = 0.05; // of that fraction, by addition
const OVER_QUOTA_CUT_FACTOR: f64 = 0.5; // of that fraction
const OVER_QUOTA_QUANTILE: f64 = 0.95; // of the delays within quotas: capacity is spare while it is in time

/// The largest budget: a low one would reject the load that comes to a scheduler that replaces others.
pub(super) fn initial_budget(now: Millis, settings: &Settings) -> SlotBudget {
    let sharing = if settings.peer_messages { 1.0 } else { f64::from(settings.schedulers) };
    SlotBudget {
        slots_per_worker: MAX_SLOTS_PER_WORKER / sharing,
        adjust_at: now + ADJUST_INTERVAL,
        over_quota_fraction: MAX_OVER_QUOTA_FRACTION,
        ..SlotBudget::default()
    }
}

impl Dispatcher {
    /// Whether an attempt fits into the budget; one of a discounted job, into the part for those.
    pub(super) fn budget_admits(&self, slots: f64, is_discounted: bool) -> bool {
        let SlotBudget { used_slots, floor, over_quota_fraction, .. } = self.budget;
        let total = self.budget.slots_per_worker * self.ready.ids.len() as f64;
        let limit = if is_discounted { over_quota_fraction * total } else { total.max(floor) };
        used_slots == 0.0 && !is_discounted || used_slots + slots <= limit
    }

    pub(super) fn record_start_delay(&mut self, now: Millis, is_discounted: bool, objectives: f64) {
        if !is_discounted && objectives.is_finite() {
            self.budget.delays.push(now, objectives);
        }
    }

    /// A job within its quota arrived that will take this much work.
    pub(super) fn record_quota_work(&mut self, now: Millis, work: f64) {
        let budget = &mut self.budget;
        budget.quota_work.add(now, RATE_DECAY_TIME, work);
        let mean = budget.quota_work.value / self.quotas.effective_window(now).max(ADJUST_INTERVAL);
        budget.floor = FLOOR_PER_MEAN * mean + FLOOR_PER_ROOT * mean.sqrt();
    }

    pub(super) fn adjust_budget(&mut self, now: Millis) {
        self.budget.adjust_at = now + ADJUST_INTERVAL * (0.9 + 0.2 * self.rng.f64());
        let has_queued = self.tenant_queues.iter().any(TenantQueue::has_jobs);
        let budget = &mut self.budget;
        let delays = budget.delays.since(now - DELAY_WINDOW);
        let has_evidence = delays.len() >= MIN_DELAYS;
        let [delay, tail_delay] = quantiles(delays, [DELAY_QUANTILE, OVER_QUOTA_QUANTILE]);
        if tail_delay > CUT_ABOVE && has_evidence {
            budget.over_quota_fraction *= OVER_QUOTA_CUT_FACTOR;
        } else if tail_delay < GROW_BELOW {
            let grown = budget.over_quota_fraction + OVER_QUOTA_GROWTH;
            budget.over_quota_fraction = grown.min(MAX_OVER_QUOTA_FRACTION);
        }
        let schedulers = f64::from(self.settings.schedulers);
        let held_back = std::mem::take(&mut budget.held_back);
        if delay > CUT_ABOVE && budget.hold == 0 && has_evidence {
            let min_slots = MIN_SLOTS_PER_WORKER / schedulers;
            budget.slots_per_worker = (budget.slots_per_worker * CUT_FACTOR).max(min_slots);
            budget.hold = HOLD_AFTER_CUT;
        } else {
            if delay < GROW_BELOW && (has_queued || budget.used_slots > 0.0) {
                // A budget that held jobs back while workers had capacity is far off: it grows in proportion.
                let growth = if held_back { HELD_BACK_GROWTH * budget.slots_per_worker } else { 0.0 };
                budget.slots_per_worker += growth.max(GROWTH / schedulers);
            }
            budget.hold = budget.hold.saturating_sub(1);
        }
        // Those that are left have the others' part too. A large cluster does not know them, and limits none.
        let peers = self.peer_loads.direct_peers() as f64;
        let active = if self.settings.peer_messages { peers + 1.0 } else { schedulers };
        let max_slots = MAX_SLOTS_PER_WORKER / active.min(schedulers);
        budget.slots_per_worker = budget.slots_per_worker.min(max_slots);
    }
}
