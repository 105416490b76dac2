//! Observed load: the report of one scheduler, the sum over a zone's schedulers, and the newest sum of each
//! zone.

use crate::{MAX_ZONES, Millis};
use serde::{Deserialize, Serialize};

/// Demand is reported in hundredths of a slot.
const CENTISLOTS_PER_SLOT: f64 = 100.0;

/// Counters for the route to one zone, from one scheduler or summed over all schedulers of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteStats {
    /// Slots of the workers in the target zone that are believed ready; a worker that is warming up counts in
    /// part. In a [`ZoneLoadReport`] this is the sum over all reporting schedulers; divide it by their
    /// number.
    pub ready_slots: u32,
    /// Attempts in the interval that reached a worker in the target zone, whatever their outcome.
    pub reached: u32,
    /// Attempts in the interval whose connection could not be opened, or was lost.
    pub failed: u32,
}

impl RouteStats {
    fn add(&mut self, other: &RouteStats) {
        self.ready_slots = self.ready_slots.saturating_add(other.ready_slots);
        self.reached = self.reached.saturating_add(other.reached);
        self.failed = self.failed.saturating_add(other.failed);
    }
}

/// What one scheduler observed in one reporting interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerZoneReport {
    /// Slots that the work of the scheduler's own clients needs, in hundredths of a slot.
    pub offered_centislots: u32,
    /// Counters of the route to each zone, by zone index.
    pub routes: Vec<RouteStats>,
}

/// The sum of the reports of a zone's schedulers. Summation is commutative and associative.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneLoadReport {
    /// Number of schedulers whose reports are summed.
    pub scheduler_count: u32,
    /// Slots that the work of all their clients needs, in hundredths of a slot.
    pub offered_centislots: u32,
    /// Counters of the route to each zone, by zone index.
    pub routes: Vec<RouteStats>,
}

impl ZoneLoadReport {
    /// Adds the report of one scheduler of the zone.
    pub fn add(&mut self, report: &SchedulerZoneReport) {
        self.merge(&ZoneLoadReport {
            scheduler_count: 1,
            offered_centislots: report.offered_centislots,
            routes: report.routes.clone(),
        });
    }

    /// Adds another sum over schedulers of the same zone.
    pub fn merge(&mut self, other: &ZoneLoadReport) {
        self.scheduler_count = self.scheduler_count.saturating_add(other.scheduler_count);
        self.offered_centislots = self.offered_centislots.saturating_add(other.offered_centislots);
        let zone_count = self.routes.len().max(other.routes.len()).min(MAX_ZONES);
        self.routes.resize(zone_count, RouteStats::default());
        for (own, other) in self.routes.iter_mut().zip(&other.routes) {
            own.add(other);
        }
    }

    /// Slots that the work of the zone's clients needs.
    pub(crate) fn offered_slots(&self) -> f64 {
        f64::from(self.offered_centislots) / CENTISLOTS_PER_SLOT
    }

    /// Ready slots of a zone, averaged over the reporting schedulers; `None` if the report does not cover the
    /// zone.
    fn ready_slots(&self, zone: usize) -> Option<f64> {
        let route = self.routes.get(zone).filter(|_| self.scheduler_count > 0)?;
        Some(f64::from(route.ready_slots) / f64::from(self.scheduler_count))
    }
}

/// A zone's report and the time at which it was made.
#[derive(Clone, Debug, PartialEq)]
struct TimedReport {
    made_at: Millis,
    report: ZoneLoadReport,
}

/// The newest load report of each zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    reports: Vec<Option<TimedReport>>,
}

impl ClusterLoad {
    /// Holds no reports yet. At most [`MAX_ZONES`] zones are stored.
    pub fn new(zone_count: usize) -> ClusterLoad {
        ClusterLoad { reports: vec![None; zone_count.min(MAX_ZONES)] }
    }

    /// Stores a zone's report unless a newer one is stored. A zone index that is out of range is ignored.
    pub fn handle_report(&mut self, made_at: Millis, zone: usize, report: ZoneLoadReport) {
        if let Some(stored) = self.reports.get_mut(zone)
            && stored.as_ref().is_none_or(|stored| stored.made_at <= made_at)
        {
            *stored = Some(TimedReport { made_at, report });
        }
    }

    /// Number of zones, with or without a report.
    pub fn zone_count(&self) -> usize {
        self.reports.len()
    }

    /// A zone's report, if it was made at `oldest` or later.
    pub(crate) fn fresh_report(&self, zone: usize, oldest: Millis) -> Option<&ZoneLoadReport> {
        let stored = self.reports.get(zone)?.as_ref()?;
        (stored.made_at >= oldest).then_some(&stored.report)
    }

    /// Ready slots of a zone. They are read from the zone's own report or, if that is missing or older than
    /// `oldest`, averaged over the fresh reports of the other zones; 0 if no fresh report covers the zone.
    pub(crate) fn ready_slots(&self, zone: usize, oldest: Millis) -> f64 {
        let own = self.fresh_report(zone, oldest).and_then(|report| report.ready_slots(zone));
        own.unwrap_or_else(|| self.ready_slots_by_others(zone, oldest))
    }

    fn ready_slots_by_others(&self, zone: usize, oldest: Millis) -> f64 {
        let others =
            (0..self.zone_count()).filter_map(|other| self.fresh_report(other, oldest)?.ready_slots(zone));
        let (sum, count) = others.fold((0.0, 0), |(sum, count), slots| (sum + slots, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}

#[cfg(test)]
mod tests;
