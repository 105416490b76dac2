//! Shares as prices: the decision module weighs each worker by what it costs, and a zone that got more than its share
//! costs more until it has not.

use crate::Millis;

/// A zone that is to get nothing costs so many aims: a worker there is used only where nobody else is left.
const SHUT: f64 = 4.0;
/// What a tenth too much costs, in aims, times ten.
const STEEP: f64 = 3.0;
/// Any crossing costs this much, so that what the plan leaves open is decided near.
const CROSSING: f64 = 0.05;
/// Jobs are forgotten after so long.
const LIFE: Millis = 3_000;
/// A share below this is none.
const LEAST: f64 = 0.002;
/// With fewer jobs than this in mind, one more is no excess.
const JOBS_LEAST: f64 = 10.0;

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Pricer {
    zone: usize,
    sent: Vec<f64>,
    at: Millis,
}

impl Pricer {
    /// For a scheduler in this one of so many zones.
    pub fn new(zone: usize, zones: usize) -> Pricer {
        Pricer { zone, sent: vec![0.0; zones], at: 0 }
    }

    /// A job was sent to a zone.
    pub fn sent(&mut self, target: usize) {
        if let Some(sent) = self.sent.get_mut(target) {
            *sent += 1.0;
        }
    }

    /// What each zone costs now, in aims, that the shares are kept.
    pub fn prices(&mut self, now: Millis, shares: &[f64]) -> Vec<f64> {
        let fade = (-(now.saturating_sub(self.at) as f64) / LIFE as f64).exp();
        self.at = now;
        self.sent.iter_mut().for_each(|sent| *sent *= fade);
        let all = self.sent.iter().sum::<f64>();
        let whole = shares.iter().sum::<f64>();
        (self.sent.iter().enumerate())
            .map(|(target, &sent)| {
                let base = if target == self.zone { 0.0 } else { CROSSING };
                let share = shares.get(target).copied().unwrap_or(0.0) / whole.max(LEAST);
                if share < LEAST {
                    return SHUT;
                }
                // Of all that was sent, so much more than its share; a job or two are no excess.
                let excess = (sent - (share * all).max(1.0)) / all.max(JOBS_LEAST);
                (base + STEEP * excess.max(0.0) / share.max(0.1)).min(SHUT)
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Each job goes to the cheapest zone; all of them have room.
    fn split(shares: &[f64], jobs: usize) -> Vec<f64> {
        let mut pricer = Pricer::new(0, shares.len());
        let mut sent = vec![0.0; shares.len()];
        let mut prices = pricer.prices(0, shares);
        for job in 0..jobs {
            let cheapest = (0..shares.len()).min_by(|&a, &b| prices[a].total_cmp(&prices[b])).expect("zones");
            pricer.sent(cheapest);
            sent[cheapest] += 1.0 / jobs as f64;
            // Ten jobs a second, prices four times.
            if job % 3 == 0 {
                prices = pricer.prices(job as Millis * 100, shares);
            }
        }
        sent
    }

    #[test]
    fn shares_come_of_prices() {
        for shares in [vec![1.0, 0.0, 0.0], vec![0.7, 0.3, 0.0], vec![0.0, 0.5, 0.5], vec![0.4, 0.2, 0.4]] {
            let sent = split(&shares, 2_000);
            for (sent, share) in sent.iter().zip(&shares) {
                assert!((sent - share).abs() < 0.06, "{sent} of {share}: {shares:?}");
            }
        }
    }

    #[test]
    fn near_costs_nothing_while_all_is_near_and_crossing_does() {
        let mut pricer = Pricer::new(1, 2);
        assert_eq!(pricer.prices(0, &[0.0, 1.0]), [SHUT, 0.0]);
        (0..100).for_each(|_| pricer.sent(1));
        assert_eq!(pricer.prices(10, &[0.0, 1.0]), [SHUT, 0.0]);
        assert_eq!(pricer.prices(10, &[]), [SHUT, SHUT]);
    }
}
