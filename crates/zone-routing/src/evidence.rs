//! What schedulers saw of zones, and its sums.

use crate::{Millis, ZONES_MOST};
use serde::{Deserialize, Serialize};

/// The way from a scheduler, or a zone's schedulers, to a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Way {
    /// Slots of workers there that are believed ready, a cold one's by its warmth; for a digest their sum over those who
    /// told, to be divided by their number.
    pub slots: u32,
    /// Attempts that came to a worker there in the span, whatever became of them.
    pub came: u32,
    /// Attempts that found no connection, or lost it.
    pub failed: u32,
}

/// What one scheduler saw in a span.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Slots that the work of its own clients needs, in hundredths.
    pub offered: u32,
    /// The way to each zone, by number.
    pub ways: Vec<Way>,
}

/// What a zone's schedulers saw, summed up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// Schedulers that told.
    pub schedulers: u32,
    /// Slots that all their clients' work needs, in hundredths.
    pub offered: u32,
    /// The way to each zone.
    pub ways: Vec<Way>,
}

impl Digest {
    /// Adds what one scheduler saw.
    pub fn add(&mut self, seen: &Seen) {
        self.merge(&Digest { schedulers: 1, offered: seen.offered, ways: seen.ways.clone() });
    }

    /// Adds another sum of the same zone.
    pub fn merge(&mut self, other: &Digest) {
        self.schedulers = self.schedulers.saturating_add(other.schedulers);
        self.offered = self.offered.saturating_add(other.offered);
        let zones = self.ways.len().max(other.ways.len()).min(ZONES_MOST);
        self.ways.resize(zones, Way::default());
        for (own, other) in self.ways.iter_mut().zip(&other.ways) {
            own.slots = own.slots.saturating_add(other.slots);
            own.came = own.came.saturating_add(other.came);
            own.failed = own.failed.saturating_add(other.failed);
        }
    }

    /// Slots ready in a zone, as those who told believe on average.
    pub(crate) fn slots(&self, zone: usize) -> Option<f64> {
        let way = self.ways.get(zone).filter(|_| self.schedulers > 0)?;
        Some(f64::from(way.slots) / f64::from(self.schedulers))
    }
}

/// What is known of all zones: a digest of each, and when it was made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    digests: Vec<Option<(Millis, Digest)>>,
}

impl Evidence {
    /// Nothing is known of so many zones.
    pub fn new(zones: usize) -> Evidence {
        Evidence { digests: vec![None; zones.min(ZONES_MOST)] }
    }

    /// A zone's newest digest; an older one than is held is dropped.
    pub fn hear(&mut self, made: Millis, zone: usize, digest: Digest) {
        if let Some(held) = self.digests.get_mut(zone)
            && held.as_ref().is_none_or(|(at, _)| *at <= made)
        {
            *held = Some((made, digest));
        }
    }

    /// How many zones there are.
    pub fn zones(&self) -> usize {
        self.digests.len()
    }

    /// A zone's digest, if it is no older than that.
    pub(crate) fn fresh(&self, zone: usize, since: Millis) -> Option<&Digest> {
        let (made, digest) = self.digests.get(zone)?.as_ref()?;
        (*made >= since).then_some(digest)
    }

    /// Slots in a zone: as its own schedulers believe, or else as the others do on average.
    pub(crate) fn slots(&self, zone: usize, since: Millis) -> f64 {
        if let Some(own) = self.fresh(zone, since).and_then(|digest| digest.slots(zone)) {
            return own;
        }
        let others = (0..self.zones()).filter_map(|other| self.fresh(other, since)?.slots(zone));
        let (sum, count) = others.fold((0.0, 0), |(sum, count), slots| (sum + slots, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn seen() -> impl Strategy<Value = Seen> {
        let way = (0..1_000u32, 0..1_000u32, 0..1_000u32);
        let way = way.prop_map(|(slots, came, failed)| Way { slots, came, failed });
        (0..100_000u32, proptest::collection::vec(way, 0..8))
            .prop_map(|(offered, ways)| Seen { offered, ways })
    }

    proptest! {
        #[test]
        fn sums_are_the_same_in_any_order_and_grouping(all in proptest::collection::vec(seen(), 0..20), cut in 0..20usize) {
            let sum = |part: &[Seen]| {
                let mut digest = Digest::default();
                part.iter().for_each(|one| digest.add(one));
                digest
            };
            let whole = sum(&all);
            let (front, back) = all.split_at(cut.min(all.len()));
            let mut grouped = sum(back);
            grouped.merge(&sum(front));
            prop_assert_eq!(&whole, &grouped);
            // No larger for many than for one.
            let bytes = postcard::to_allocvec(&whole).expect("bytes");
            prop_assert!(bytes.len() <= 5 + 5 + 1 + 8 * 15);
        }
    }

    #[test]
    fn an_older_digest_changes_nothing_and_others_stand_in_for_a_silent_zone() {
        let mut evidence = Evidence::new(2);
        let digest = |slots| Digest {
            schedulers: 2,
            offered: 0,
            ways: vec![Way { slots, ..Way::default() }, Way { slots: 60, ..Way::default() }],
        };
        evidence.hear(20, 0, digest(10));
        evidence.hear(10, 0, digest(90));
        assert_eq!((evidence.slots(0, 0), evidence.slots(1, 0)), (5.0, 30.0));
        assert_eq!((evidence.slots(0, 21), evidence.slots(1, 21)), (0.0, 0.0));
        evidence.hear(30, 9, digest(1));
        assert_eq!(evidence.zones(), 2);
    }
}
