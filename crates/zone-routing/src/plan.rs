//! The plan, its version and its wire encoding.

use crate::{MAX_ZONES, Millis};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of an encoded plan. A datagram has 256 bytes; the rest is for the fencing token and the
/// message kind.
pub const MAX_PLAN_BYTES: usize = 217;

/// Shares are encoded in units of 1/200.
pub(crate) const SHARE_UNITS: u8 = 200;

/// Shares of work by origin zone, then by target zone; each is from 0 to 1.
pub type ShareMatrix = Vec<Vec<f64>>;

/// The term of the role lease under which the leader plans. Terms are ordered by their fields, from first to
/// last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlannerTerm {
    /// The era of the view's epoch.
    pub era: u32,
    /// The number of the view's epoch.
    pub epoch: u32,
    /// The counter of the ballot under which the process that granted the role lease was elected.
    pub ballot: u32,
    /// The ordinal of the process that proposed that ballot.
    pub proposer: u32,
    /// The number of the grant. It increases with each grant of that process.
    pub step: u32,
}

impl From<[u32; 5]> for PlannerTerm {
    fn from([era, epoch, ballot, proposer, step]: [u32; 5]) -> PlannerTerm {
        PlannerTerm { era, epoch, ballot, proposer, step }
    }
}

impl fmt::Display for PlannerTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}.{}", self.era, self.epoch, self.ballot, self.proposer, self.step)
    }
}

/// A plan's position in the total order of all plans: the leader's term, then the leader's sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanVersion {
    /// The leader's term. It increases with each new leader.
    pub term: PlannerTerm,
    /// Increases with each plan of one leader.
    pub sequence: u32,
}

/// Assigns the work of each zone to target zones by shares.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's position in the total order of all plans.
    pub version: PlanVersion,
    /// When the plan takes effect.
    pub active_from: Millis,
    zone_count: u8,
    /// Shares in units of 1/200, by origin, then by target. If a row sums to less than 200, the rest of the
    /// origin's work is rejected.
    share_units: Vec<u8>,
}

/// Why bytes could not be decoded as a plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodePlanError {
    /// The input is longer than any encoded plan.
    #[error("encoded plan too long: {length} bytes, at most {MAX_PLAN_BYTES} allowed")]
    TooLong {
        /// Length of the input in bytes.
        length: usize,
    },
    /// The input ends early, or holds a number that is out of range.
    #[error("malformed plan")]
    Malformed(#[from] postcard::Error),
    /// The plan is followed by more bytes.
    #[error("{length} trailing bytes after the encoded plan")]
    TrailingBytes {
        /// Number of bytes after the plan.
        length: usize,
    },
    /// The plan has no zones, or too many.
    #[error("plan has {zone_count} zones, expected 1 to {MAX_ZONES}")]
    ZoneCount {
        /// Number of zones in the plan.
        zone_count: usize,
    },
    /// The number of shares is not the square of the number of zones.
    #[error("plan has {share_count} shares for {zone_count} zones, expected zones squared")]
    ShareCount {
        /// Number of shares in the plan.
        share_count: usize,
        /// Number of zones in the plan.
        zone_count: usize,
    },
    /// The shares of an origin zone sum to more than 1.
    #[error("shares of origin zone {origin} sum to more than 1")]
    ShareSum {
        /// The origin zone, by index.
        origin: usize,
    },
}

impl Plan {
    /// A plan that keeps all work in its zone. Its version is the lowest, and it is in effect at any time.
    pub fn local_only(zone_count: usize) -> Plan {
        let zone_count = zone_count.min(MAX_ZONES);
        let shares: ShareMatrix = (0..zone_count).map(|origin| local_row(origin, zone_count)).collect();
        Plan::new(PlanVersion::default(), 0, &shares)
    }

    /// A plan with these shares, by origin, then by target, rounded to units of 1/200. If a row sums to less
    /// than 1, the rest of the origin's work is rejected.
    pub fn new(version: PlanVersion, active_from: Millis, shares: &[Vec<f64>]) -> Plan {
        let zone_count = shares.len().min(MAX_ZONES);
        let share_units =
            shares.iter().take(zone_count).flat_map(|row| round_to_units(row, zone_count)).collect();
        Plan { version, active_from, zone_count: zone_count as u8, share_units }
    }

    /// Number of zones in the plan.
    pub fn zone_count(&self) -> usize {
        usize::from(self.zone_count)
    }

    /// The share of the origin zone's work that goes to the target zone; 0 if either zone is not in the plan.
    pub fn share(&self, origin: usize, target: usize) -> f64 {
        let zone_count = self.zone_count();
        if origin >= zone_count || target >= zone_count {
            return 0.0;
        }
        f64::from(self.share_units[origin * zone_count + target]) / f64::from(SHARE_UNITS)
    }

    /// The share of the origin zone's work that is rejected, since no zone has capacity for it; 1 if the
    /// zone is not in the plan.
    pub fn rejected_share(&self, origin: usize) -> f64 {
        1.0 - (0..self.zone_count()).map(|target| self.share(origin, target)).sum::<f64>()
    }

    /// Encodes the plan into at most [`MAX_PLAN_BYTES`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes and validates a plan. The bytes must hold nothing but the plan.
    pub fn decode(bytes: &[u8]) -> Result<Plan, DecodePlanError> {
        if bytes.len() > MAX_PLAN_BYTES {
            return Err(DecodePlanError::TooLong { length: bytes.len() });
        }
        let (plan, rest) = postcard::take_from_bytes::<Plan>(bytes)?;
        if !rest.is_empty() {
            return Err(DecodePlanError::TrailingBytes { length: rest.len() });
        }
        plan.validate()?;
        Ok(plan)
    }

    fn validate(&self) -> Result<(), DecodePlanError> {
        let zone_count = self.zone_count();
        if !(1..=MAX_ZONES).contains(&zone_count) {
            return Err(DecodePlanError::ZoneCount { zone_count });
        }
        let share_count = self.share_units.len();
        if share_count != zone_count * zone_count {
            return Err(DecodePlanError::ShareCount { share_count, zone_count });
        }
        let exceeds_whole = |row: &[u8]| sum_of_units(row) > u32::from(SHARE_UNITS);
        match self.share_units.chunks(zone_count).position(exceeds_whole) {
            Some(origin) => Err(DecodePlanError::ShareSum { origin }),
            None => Ok(()),
        }
    }
}

/// The row of shares of a zone that keeps all of its work local.
pub(crate) fn local_row(origin: usize, zone_count: usize) -> Vec<f64> {
    (0..zone_count).map(|target| f64::from(u8::from(origin == target))).collect()
}

fn sum_of_units(units: &[u8]) -> u32 {
    units.iter().map(|&units| u32::from(units)).sum()
}

/// Rounds a row of shares to whole units by the largest remainder method, which preserves the sum.
fn round_to_units(row: &[f64], zone_count: usize) -> Vec<u8> {
    let exact: Vec<f64> = (0..zone_count)
        .map(|target| row.get(target).copied().unwrap_or(0.0).clamp(0.0, 1.0) * f64::from(SHARE_UNITS))
        .collect();
    let mut units: Vec<u8> = exact.iter().map(|exact| exact.floor() as u8).collect();
    let sum = exact.iter().sum::<f64>().min(f64::from(SHARE_UNITS)).round() as u32;
    let remainder = |target: usize| exact[target] - exact[target].floor();
    let mut by_remainder: Vec<usize> = (0..zone_count).collect();
    by_remainder.sort_by(|&a, &b| remainder(b).total_cmp(&remainder(a)).then(a.cmp(&b)));
    let mut left = sum.saturating_sub(sum_of_units(&units));
    for target in by_remainder {
        if left > 0 && exact[target] > 0.0 {
            units[target] += 1;
            left -= 1;
        }
    }
    units
}

#[cfg(test)]
mod tests;
