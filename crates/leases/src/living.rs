//! How many schedulers share the workers, for budgets and allowances that each takes its part of.
//!
//! **The promise.** Of the schedulers that live, those on one roll together never take more than the whole, however they
//! differ in what they have heard of it: a larger count holds at once, a smaller one once everybody on the roll must have
//! heard of it, and whoever hears nothing, or is not on the roll, reckons with every seat. So beyond the whole there is
//! at most one seat's part for each scheduler that the roll does not count: one that has just come, or one that is cut
//! off, lives and goes on.

use crate::Micros;

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Living {
    seats: usize,
    /// Smaller counts are waited out for so long.
    settle: Micros,
    count: usize,
    /// The most that was heard since then, where all of it was less than the count.
    fewer: Option<(usize, Micros)>,
}

impl Living {
    /// All seats count. `settle`: within so long whoever is on a roll has heard of it, or reckons with every seat.
    pub fn new(seats: usize, settle: Micros) -> Living {
        Living { seats: seats.max(1), settle, count: seats.max(1), fewer: None }
    }

    /// How many to reckon with. `on_roll`: the members of the roll, if we are one of them and hear of it.
    pub fn count(&mut self, now: Micros, on_roll: Option<usize>) -> usize {
        let told = on_roll.map_or(self.seats, |members| members.clamp(1, self.seats));
        if told >= self.count {
            (self.count, self.fewer) = (told, None);
            return self.count;
        }
        let (most, since) = self.fewer.map_or((told, now), |(most, since)| (most.max(told), since));
        self.fewer = Some((most, since));
        if now >= since.saturating_add(self.settle) {
            self.count = most;
            // A still smaller one is waited out from now on.
            self.fewer = (told < most).then_some((told, now));
        }
        self.count
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_larger_count_holds_at_once_and_a_smaller_one_is_waited_out() {
        let mut living = Living::new(6, 100);
        assert_eq!(living.count(0, Some(4)), 6);
        assert_eq!(living.count(99, Some(4)), 6);
        assert_eq!(living.count(100, Some(4)), 4);
        assert_eq!(living.count(110, Some(5)), 5);
        assert_eq!(living.count(120, Some(3)), 5);
        // One more was there meanwhile: it is counted.
        assert_eq!(living.count(170, Some(4)), 5);
        assert_eq!(living.count(220, Some(3)), 4);
        assert_eq!(living.count(320, Some(3)), 3);
        // Nothing is heard any more: every seat may be taken.
        assert_eq!(living.count(330, None), 6);
        assert_eq!(Living::new(0, 0).count(0, Some(0)), 1);
    }

    const SETTLE: Micros = 50;

    proptest! {
        /// Rolls change at random; each process hears of one within the time to settle, or of none and knows it.
        #[test]
        fn those_on_a_roll_never_take_more_than_the_whole(
            seats in 2usize..9,
            steps in proptest::collection::vec((any::<u16>(), 1u64..40, any::<u64>()), 1..60),
        ) {
            let mut all: Vec<Living> = (0..seats).map(|_| Living::new(seats, SETTLE)).collect();
            // What each has heard last: members, or nothing; and what is on its way to it.
            let mut heard: Vec<Option<u16>> = vec![None; seats];
            let mut coming: Vec<(Micros, usize, usize, Option<u16>)> = Vec::new();
            // Rolls carry terms: an older one that comes late is not taken.
            let mut newest = vec![0; seats];
            let mut now = 0;
            let mut settled = vec![0u64; seats];
            let mut roll = u16::MAX;
            for (term, (mask, wait, delays)) in steps.into_iter().enumerate() {
                let next = mask & ((1 << seats) - 1) | 1;
                let joined: Vec<usize> =
                    (0..seats).filter(|&at| next & !roll & 1 << at != 0).collect();
                joined.iter().for_each(|&at| settled[at] = now + SETTLE);
                roll = next;
                for at in 0..seats {
                    // Whoever is left out knows it in time too, or hears nothing in time.
                    let told = (roll & 1 << at != 0).then_some(roll);
                    coming.push((now + (delays >> (at * 7)) % SETTLE, term, at, told));
                }
                for _ in 0..wait {
                    now += 1;
                    coming.retain(|&(then, term, at, told)| {
                        if then <= now && term >= newest[at] {
                            (newest[at], heard[at]) = (term, told);
                        }
                        then > now
                    });
                    let counts: Vec<usize> = (0..seats)
                        .map(|at| all[at].count(now, heard[at].map(|roll| roll.count_ones() as usize)))
                        .collect();
                    let on_roll = |at: &usize| roll & 1 << at != 0;
                    // Those who have been on it for long enough that all have heard of them.
                    let known = (0..seats).filter(on_roll).filter(|&at| settled[at] <= now);
                    let whole: f64 = known.map(|at| 1.0 / counts[at] as f64).sum();
                    prop_assert!(whole <= 1.0 + 1e-9, "{whole} of the whole at {now}: {counts:?}");
                }
            }
        }
    }
}
