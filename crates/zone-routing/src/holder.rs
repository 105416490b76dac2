//! A scheduler's copy of the plan.

use crate::{Millis, Plan, Stamp};

/// A plan of an older stamp than the one known, which it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Older(pub Stamp);

/// What to go by.
#[derive(Clone, Debug, PartialEq)]
pub enum Use {
    /// The shares of the plan, by target.
    Plan(Vec<f64>),
    /// No plan was heard of for long: near, and so much of what near can't take goes where our own evidence says.
    Alone {
        /// The part of our work that may leave the zone, at most.
        spill: f64,
    },
}

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Holder {
    zone: usize,
    /// A plan holds for so long after it was heard of last.
    keeps: Millis,
    now: Option<Plan>,
    next: Option<Plan>,
    newest: Stamp,
    heard_at: Option<Millis>,
}

/// What may leave a zone by the evidence of one scheduler alone: the others do the same, unheard.
const SPILL: f64 = 0.1;

impl Holder {
    /// For a scheduler in this zone. `keeps`: how long a plan that is not told again is gone by; half as long again it
    /// counts for half.
    pub fn new(zone: usize, keeps: Millis) -> Holder {
        Holder { zone, keeps, now: None, next: None, newest: Stamp::default(), heard_at: None }
    }

    /// A plan was told, or told again.
    pub fn hear(&mut self, now: Millis, plan: Plan) -> Result<(), Older> {
        if plan.stamp < self.newest {
            return Err(Older(self.newest));
        }
        self.heard_at = Some(now);
        if plan.stamp > self.newest {
            self.newest = plan.stamp;
            // One that was to hold by now does, before a later one takes its place.
            self.turn(now);
            self.next = Some(plan);
        }
        self.turn(now);
        Ok(())
    }

    fn turn(&mut self, now: Millis) {
        if self.next.as_ref().is_some_and(|next| next.from <= now) {
            self.now = self.next.take();
        }
    }

    /// The newest stamp heard of.
    pub fn newest(&self) -> Stamp {
        self.newest
    }

    /// The plan that holds.
    pub fn plan(&mut self, now: Millis) -> Option<&Plan> {
        self.turn(now);
        self.now.as_ref()
    }

    /// What to go by at this moment.
    pub fn rule(&mut self, now: Millis) -> Use {
        self.turn(now);
        let (Some(plan), Some(heard_at)) = (&self.now, self.heard_at) else {
            return Use::Alone { spill: SPILL };
        };
        let age = now.saturating_sub(heard_at);
        let shares = || (0..plan.zones()).map(|target| plan.share(self.zone, target));
        if age < self.keeps {
            return Use::Plan(shares().collect());
        }
        if age >= self.keeps + self.keeps / 2 {
            return Use::Alone { spill: SPILL };
        }
        // Half of the way back: those who were sent our work are not left idle at once, nor near flooded.
        let halved = shares()
            .enumerate()
            .map(|(target, share)| if target == self.zone { 0.5 + 0.5 * share } else { 0.5 * share });
        Use::Plan(halved.collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(term: u32, count: u32, from: Millis, away: f64) -> Plan {
        Plan::new(Stamp { term: [0, 0, 0, 0, term], count }, from, &[vec![1.0 - away, away], vec![0.0, 1.0]])
    }

    #[test]
    fn a_plan_holds_from_its_time_on_and_an_older_one_is_refused() {
        let mut holder = Holder::new(0, 1_000);
        assert_eq!(holder.rule(0), Use::Alone { spill: SPILL });
        holder.hear(0, plan(2, 1, 100, 0.5)).expect("new");
        assert_eq!(holder.rule(99), Use::Alone { spill: SPILL }, "it is told of before it holds");
        assert_eq!(holder.rule(100), Use::Plan(vec![0.5, 0.5]));
        assert_eq!(
            holder.hear(110, plan(1, 9, 0, 0.1)),
            Err(Older(Stamp { term: [0, 0, 0, 0, 2], count: 1 }))
        );
        // The next one waits for its time; this one goes on.
        holder.hear(120, plan(2, 2, 200, 0.25)).expect("newer");
        assert_eq!(holder.rule(199), Use::Plan(vec![0.5, 0.5]));
        assert_eq!(holder.rule(200), Use::Plan(vec![0.75, 0.25]));
        // Told again: no change but that it is not old.
        holder.hear(900, plan(2, 2, 200, 0.25)).expect("again");
        assert_eq!(holder.rule(1_800), Use::Plan(vec![0.75, 0.25]));
    }

    #[test]
    fn one_whose_time_has_come_holds_though_a_later_one_is_told_before_anybody_asked() {
        let mut holder = Holder::new(0, 1_000);
        holder.hear(0, plan(1, 1, 100, 0.5)).expect("new");
        holder.hear(150, plan(1, 2, 300, 0.25)).expect("newer");
        assert_eq!(holder.rule(150), Use::Plan(vec![0.5, 0.5]));
    }

    #[test]
    fn without_word_it_goes_back_in_two_steps() {
        let mut holder = Holder::new(0, 1_000);
        holder.hear(0, plan(1, 1, 0, 0.5)).expect("new");
        assert_eq!(holder.rule(999), Use::Plan(vec![0.5, 0.5]));
        assert_eq!(holder.rule(1_000), Use::Plan(vec![0.75, 0.25]));
        assert_eq!(holder.rule(1_500), Use::Alone { spill: SPILL });
        holder.hear(2_000, plan(1, 1, 0, 0.5)).expect("word again");
        assert_eq!(holder.rule(2_000), Use::Plan(vec![0.5, 0.5]));
    }
}
