//! What this scheduler observes about routes, load and workers between two of its zone reports.

use crate::net::event_loop::Millis;
use brackenledge_discovery::{EndpointDirectory, EndpointRecord};
use brackenledge_policy::{LoadReport, Outcome, Readiness, WorkerId};
use brackenledge_zone_routing::{RouteStats, SchedulerZoneReport};
use std::collections::HashMap;

/// The offered load is reported in hundredths of a slot.
const CENTISLOTS_PER_SLOT: f64 = 100.0;
/// Smoothing factor of the offered load over reports. One scheduler gets only a few dozen jobs per second,
/// and their random variation must not change the plan.
const OFFERED_SMOOTHING: f64 = 0.25;
/// Smoothing factor of the run time over jobs.
const RUN_TIME_SMOOTHING: f64 = 0.05;
/// Smoothing factor of a worker's slots over its load reports.
const SLOTS_SMOOTHING: f64 = 0.2;

/// Routes, load and workers as observed by this scheduler.
pub(super) struct Observations {
    /// The fraction of its slots that a worker provides right after its start.
    initial_capacity_fraction: f64,
    /// Time from a worker's start until it provides all its slots.
    warm_up_duration: Millis,
    /// Attempts of the current interval, by zone of the worker.
    routes: Vec<RouteStats>,
    interval_start: Millis,
    /// Cumulative slots of all jobs that had arrived when the interval began.
    arrived_slots: f64,
    /// Load offered by this scheduler's clients in hundredths of a slot, smoothed.
    offered_centislots: Option<f64>,
    /// Run time of a job, smoothed.
    run_time: Option<Millis>,
    /// Slots of each worker that has reported its load, smoothed.
    worker_slots: HashMap<WorkerId, f64>,
}

impl Observations {
    pub fn new(zone_count: usize, policy: &brackenledge_policy::Settings) -> Observations {
        Observations {
            initial_capacity_fraction: policy.initial_capacity_fraction,
            warm_up_duration: policy.warm_up_duration,
            routes: vec![RouteStats::default(); zone_count],
            interval_start: 0.0,
            arrived_slots: 0.0,
            offered_centislots: None,
            run_time: None,
            worker_slots: HashMap::new(),
        }
    }

    /// Start of the interval that the next report covers.
    pub fn interval_start(&self) -> Millis {
        self.interval_start
    }

    pub fn on_attempt_finished(
        &mut self,
        worker: WorkerId,
        zone: Option<u32>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        if let Some(route) = zone.and_then(|zone| self.routes.get_mut(zone as usize)) {
            match outcome {
                Outcome::ConnectFailed | Outcome::Reset => route.failed += 1,
                Outcome::NeverSent | Outcome::Cancelled => {}
                _ => route.reached += 1,
            }
        }
        if let Some(LoadReport { free_slots: Some(free), in_flight: Some(in_flight), .. }) = report {
            self.on_slots_reported(worker, free, in_flight);
        }
    }

    fn on_slots_reported(&mut self, worker: WorkerId, free: f64, in_flight: f64) {
        let slots = free + in_flight;
        if !slots.is_finite() {
            return;
        }
        let known = self.worker_slots.entry(worker).or_insert(slots);
        // Without a free slot, jobs in flight may include queued ones that occupy no slot, so the sum may be
        // too large.
        if free >= 1.0 {
            *known = (1.0 - SLOTS_SMOOTHING) * *known + SLOTS_SMOOTHING * slots;
        }
    }

    pub fn on_job_served(&mut self, run_time: Millis) {
        let smoothed = self.run_time.get_or_insert(run_time);
        *smoothed += RUN_TIME_SMOOTHING * (run_time - *smoothed);
    }

    /// Ends the interval and starts the next. Returns the report of the ended one, unless too little is known
    /// for it. `arrived_slots`: cumulative slots of all jobs that have arrived.
    pub fn take_report(
        &mut self,
        now: Millis,
        arrived_slots: f64,
        endpoints: &EndpointDirectory,
    ) -> Option<SchedulerZoneReport> {
        let interval = now - self.interval_start;
        let is_first = self.interval_start == 0.0;
        let arrived = arrived_slots - self.arrived_slots;
        (self.interval_start, self.arrived_slots) = (now, arrived_slots);
        let no_routes = vec![RouteStats::default(); self.routes.len()];
        let mut routes = std::mem::replace(&mut self.routes, no_routes);
        // The load can't be expressed in slots until the run time of jobs and the slots of a worker are
        // known.
        let run_time = self.run_time?;
        if self.worker_slots.is_empty() || is_first {
            return None;
        }
        for (route, slots) in routes.iter_mut().zip(self.ready_slots(now, endpoints)) {
            route.ready_slots = slots.round() as u32;
        }
        let offered_centislots =
            self.smooth_offered(CENTISLOTS_PER_SLOT * arrived * run_time / interval.max(1.0));
        Some(SchedulerZoneReport { offered_centislots, routes })
    }

    fn smooth_offered(&mut self, offered: f64) -> u32 {
        let smoothed = match self.offered_centislots {
            Some(smoothed) => smoothed + OFFERED_SMOOTHING * (offered - smoothed),
            None => offered,
        };
        self.offered_centislots = Some(smoothed);
        smoothed.round() as u32
    }

    /// Slots of the ready workers in each zone. Workers that have reported no slots count with the mean of
    /// the others.
    fn ready_slots(&self, now: Millis, endpoints: &EndpointDirectory) -> Vec<f64> {
        let mean = self.worker_slots.values().sum::<f64>() / self.worker_slots.len() as f64;
        let mut ready_slots = vec![0.0; self.routes.len()];
        for (id, endpoint, readiness) in endpoints.endpoints() {
            if readiness != Readiness::Ready {
                continue;
            }
            if let Some(sum) = ready_slots.get_mut(endpoint.zone as usize) {
                let slots = self.worker_slots.get(&id).copied().unwrap_or(mean);
                *sum += slots * self.available_fraction(now, endpoint);
            }
        }
        ready_slots
    }

    /// The fraction of its slots that a worker provides. It grows linearly while the worker warms up.
    fn available_fraction(&self, now: Millis, endpoint: &EndpointRecord) -> f64 {
        let warmed_up =
            endpoint.started_at.map_or(1.0, |started_at| (now - started_at) / self.warm_up_duration.max(1.0));
        self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * warmed_up.clamp(0.0, 1.0)
    }
}
