//! The plan, and its bytes.

use crate::{Millis, ZONES_MOST};
use serde::{Deserialize, Serialize};

/// The longest plan in bytes: with an owner's head and the byte that says whose it is a datagram has 256.
pub const PLAN_MOST: usize = 217;

/// Shares are told in so many parts.
pub(crate) const PARTS: u8 = 200;

/// A plan's place in the order of all plans: the owner's term, as numbers in the order in which they count, then its own
/// count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Grows with each owner.
    pub term: [u32; 5],
    /// Grows with each plan of one owner.
    pub count: u32,
}

/// Which part of each zone's work goes to which zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Its place among all plans.
    pub stamp: Stamp,
    /// From when it holds.
    pub from: Millis,
    zones: u8,
    /// By origin, then by target, in parts of 200; what is missing to the whole is refused. Rows are packed.
    parts: Vec<u8>,
}

impl Plan {
    /// All work stays near.
    pub fn near(zones: usize) -> Plan {
        let zones = zones.min(ZONES_MOST);
        let shares: Vec<Vec<f64>> =
            (0..zones).map(|i| (0..zones).map(|j| f64::from(u8::from(i == j))).collect()).collect();
        Plan::new(Stamp::default(), 0, &shares)
    }

    /// Of shares by origin and target; what they lack to one is refused.
    pub fn new(stamp: Stamp, from: Millis, shares: &[Vec<f64>]) -> Plan {
        let zones = shares.len().min(ZONES_MOST);
        let parts = shares.iter().take(zones).flat_map(|row| rounded(row, zones)).collect();
        Plan { stamp, from, zones: zones as u8, parts }
    }

    /// How many zones it is for.
    pub fn zones(&self) -> usize {
        usize::from(self.zones)
    }

    /// The part of a zone's work that goes to another.
    pub fn share(&self, origin: usize, target: usize) -> f64 {
        let zones = self.zones();
        if origin >= zones || target >= zones {
            return 0.0;
        }
        f64::from(self.parts[origin * zones + target]) / f64::from(PARTS)
    }

    /// The part of a zone's work that nobody has room for.
    pub fn refused(&self, origin: usize) -> f64 {
        1.0 - (0..self.zones()).map(|target| self.share(origin, target)).sum::<f64>()
    }

    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A plan, if these bytes are one and nothing else.
    pub fn read(bytes: &[u8]) -> Option<Plan> {
        if bytes.len() > PLAN_MOST {
            return None;
        }
        let (plan, rest) = postcard::take_from_bytes::<Plan>(bytes).ok()?;
        let zones = plan.zones();
        let whole = |row: &[u8]| row.iter().map(|&part| u32::from(part)).sum::<u32>() <= u32::from(PARTS);
        let sound = rest.is_empty()
            && (1..=ZONES_MOST).contains(&zones)
            && plan.parts.len() == zones * zones
            && plan.parts.chunks(zones).all(whole);
        sound.then_some(plan)
    }
}

/// Shares in whole parts: what rounding leaves over goes where most was cut off, so that the sum is kept.
fn rounded(row: &[f64], zones: usize) -> Vec<u8> {
    let exact: Vec<f64> =
        (0..zones).map(|at| row.get(at).copied().unwrap_or(0.0).clamp(0.0, 1.0) * f64::from(PARTS)).collect();
    let mut parts: Vec<u8> = exact.iter().map(|part| part.floor() as u8).collect();
    let sum = exact.iter().sum::<f64>().min(f64::from(PARTS)).round() as u32;
    let mut order: Vec<usize> = (0..zones).collect();
    order.sort_by(|&a, &b| {
        (exact[b] - exact[b].floor()).total_cmp(&(exact[a] - exact[a].floor())).then(a.cmp(&b))
    });
    let mut left = sum.saturating_sub(parts.iter().map(|&part| u32::from(part)).sum());
    for at in order {
        if left > 0 && exact[at] > 0.0 {
            parts[at] += 1;
            left -= 1;
        }
    }
    parts
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn any_shares_come_back_within_a_part_and_fit_their_datagram(
            zones in 1..=ZONES_MOST,
            weights in proptest::collection::vec(0.0..1.0f64, ZONES_MOST * ZONES_MOST),
            whole in proptest::collection::vec(0.0..=1.0f64, ZONES_MOST),
        ) {
            let shares: Vec<Vec<f64>> = (0..zones)
                .map(|i| {
                    let row = &weights[i * zones..(i + 1) * zones];
                    let sum = row.iter().sum::<f64>().max(1e-9);
                    row.iter().map(|weight| weight / sum * whole[i]).collect()
                })
                .collect();
            let plan = Plan::new(Stamp { term: [u32::MAX; 5], count: u32::MAX }, u64::MAX, &shares);
            let bytes = plan.write();
            prop_assert!(bytes.len() <= PLAN_MOST, "{} bytes", bytes.len());
            prop_assert_eq!(Plan::read(&bytes), Some(plan.clone()));
            for (i, row) in shares.iter().enumerate() {
                prop_assert!((plan.refused(i) - (1.0 - whole[i])).abs() <= 1.0 / f64::from(PARTS), "{:?}", row);
                for (j, share) in row.iter().enumerate() {
                    prop_assert!((plan.share(i, j) - share).abs() <= 1.0 / f64::from(PARTS));
                }
            }
        }

        #[test]
        fn any_bytes_are_a_sound_plan_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..260)) {
            if let Some(plan) = Plan::read(&bytes) {
                for i in 0..plan.zones() {
                    prop_assert!((-1e-9..=1.0).contains(&plan.refused(i)));
                }
            }
        }
    }
}
