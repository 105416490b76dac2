//! How much of the work concerns each key, as one dispatcher sees it.

use crate::Millis;
use crate::measure::DecayingSum;
use std::collections::BTreeMap;

/// Memory of what was asked for: some sixty jobs where a hundred dispatchers share 300 a second.
const LIFE: Millis = 20_000.0;
/// Arrivals that knowing nothing weighs as much as: a key seen once is no hot one.
const PRIOR: f64 = 30.0;
/// Less than this is left of a count that is forgotten: one arrival, some three lives ago.
const FORGOTTEN: f64 = 0.05;

/// Counts of the keys asked for lately.
#[derive(Default)]
pub(crate) struct KeyShares {
    all: DecayingSum,
    keys: BTreeMap<u64, DecayingSum>,
    forget_at: Millis,
}

impl KeyShares {
    /// A job concerns a key; tells the part of all jobs that do, this one included.
    pub(crate) fn add(&mut self, now: Millis, key: u64) -> f64 {
        if now >= self.forget_at {
            self.forget_at = now + LIFE;
            self.keys.retain(|_, count| count.value_at(now, LIFE) > FORGOTTEN);
        }
        self.all.add(now, LIFE, 1.0);
        let count = self.keys.entry(key).or_default();
        count.add(now, LIFE, 1.0);
        count.sum / (self.all.sum + PRIOR)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_learned_and_what_is_not_asked_for_is_forgotten() {
        let mut keys = KeyShares::default();
        assert!(keys.add(0.0, 1) < 0.05, "one job makes no key hot");
        let shares: Vec<f64> = (1..400).map(|n| keys.add(f64::from(n) * 100.0, n as u64 % 4)).collect();
        assert!(shares[396..].iter().all(|share| (0.2..0.26).contains(share)), "{:?}", &shares[396..]);
        keys.add(40_000.0 + 10.0 * LIFE, 9);
        assert_eq!(keys.keys.len(), 1);
    }
}
