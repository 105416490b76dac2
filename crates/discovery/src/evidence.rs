//! What servers themselves let one guess while discovery is silent: drains by their behaviour, and who is next in
//! the release under way. Guesses are weighed, fade, and never outlive a confirmed word.

use brackenledge_policy::Millis;
use brackenledge_policy::measure::Fading;
use std::collections::VecDeque;

/// What a server's own behaviour says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerWord {
    /// It handed a job back unstarted, though it said in the same breath that it had room.
    ReturnedWithRoom,
    /// It handed a job back unstarted; it may just be full.
    Returned,
    /// It refused a connection.
    Refused,
    /// It ended a connection that it could have kept.
    Closing,
    /// It served a job.
    Served,
}

/// How long evidence lasts: fades to a third in it.
const LIFE: Millis = 4_000.0;
/// Evidence of this much holds new work back while nothing can be confirmed.
pub(super) const ENOUGH: f64 = 1.0;
/// And goes on doing so down to this much: some six seconds, then it is tried again.
pub(super) const STILL: f64 = 0.25;
/// Evidence of this much is not worth keeping.
const NOTHING: f64 = 0.05;

impl ServerWord {
    /// Full servers hand back too, and single connections fail by themselves: no word is enough alone.
    fn weight(self) -> f64 {
        match self {
            ServerWord::ReturnedWithRoom => 0.55,
            ServerWord::Returned => 0.12,
            ServerWord::Refused => 0.6,
            ServerWord::Closing => 0.35,
            ServerWord::Served => 0.0,
        }
    }
}

/// Evidence that a server drains.
#[derive(Clone, Copy, Default)]
pub(super) struct Evidence(Fading);

impl Evidence {
    pub(super) fn add(&mut self, now: Millis, word: ServerWord) {
        match word {
            // A server that drains serves what it holds: this only weakens the rest.
            ServerWord::Served => self.0.sum *= 0.8,
            _ => self.0.add(now, LIFE, word.weight()),
        }
    }

    pub(super) fn now(&self, now: Millis) -> f64 {
        self.0.now(now, LIFE)
    }

    pub(super) fn nothing(&self, now: Millis) -> bool {
        self.now(now) < NOTHING
    }
}

/// Where a machine stands: releases go through the fleet by these.
pub(super) type Group = (u32, u32);

/// A release replaces machines one after another: new ones of a zone and kind come up, then as many old ones of it
/// drain. What lies this far back belongs to another release.
const RELEASE: Millis = 20_000.0;
/// Doubt of any old server while a release is under way, and of those whose replacements are up already.
const UNDER_WAY: f64 = 0.2;
const REPLACED: f64 = 0.8;

/// The release under way, as seen from the changes of the list.
#[derive(Default)]
pub(super) struct Release {
    /// When, where, and whether a machine came (+1) or went (-1).
    steps: VecDeque<(Millis, Group, i32)>,
}

impl Release {
    pub(super) fn came(&mut self, now: Millis, group: Group) {
        self.steps.push_back((now, group, 1));
    }

    pub(super) fn went(&mut self, now: Millis, group: Group) {
        self.steps.push_back((now, group, -1));
    }

    /// Drops what lies too far back; whether a release is under way.
    pub(super) fn under_way(&mut self, now: Millis) -> bool {
        while self.steps.front().is_some_and(|step| step.0 < now - RELEASE) {
            self.steps.pop_front();
        }
        let went = self.steps.iter().any(|step| step.2 < 0);
        went || self.steps.iter().filter(|step| step.2 > 0).count() > 1
    }

    /// When the release under way began, as seen here.
    pub(super) fn since(&self) -> Millis {
        self.steps.front().map_or(f64::INFINITY, |step| step.0)
    }

    /// How likely an old server of this group is the next to drain, 0 to 1, `old` being their number.
    pub(super) fn doubt(&self, group: Group, old: usize) -> f64 {
        let surplus: i32 = self.steps.iter().filter(|step| step.1 == group).map(|step| step.2).sum();
        let replaced = f64::from(surplus.max(0)) / old.max(1) as f64;
        (UNDER_WAY + REPLACED * replaced.min(1.0)).min(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_single_word_is_enough_and_what_is_not_repeated_fades() {
        for word in
            [ServerWord::ReturnedWithRoom, ServerWord::Returned, ServerWord::Refused, ServerWord::Closing]
        {
            let mut evidence = Evidence::default();
            evidence.add(0.0, word);
            assert!(evidence.now(0.0) < ENOUGH && evidence.nothing(60_000.0));
        }
        let mut evidence = Evidence::default();
        evidence.add(0.0, ServerWord::ReturnedWithRoom);
        evidence.add(100.0, ServerWord::Refused);
        assert!(evidence.now(100.0) >= ENOUGH);
        (0..5).for_each(|_| evidence.add(100.0, ServerWord::Served));
        assert!(evidence.now(100.0) < ENOUGH);
    }

    #[test]
    fn those_whose_replacements_are_up_are_the_likeliest_next() {
        let mut release = Release::default();
        assert!(!release.under_way(0.0));
        release.came(0.0, (1, 1));
        release.came(0.0, (2, 1));
        assert!(release.under_way(100.0));
        assert!(release.doubt((1, 1), 2) > release.doubt((3, 1), 2));
        assert!(release.doubt((1, 1), 1) > release.doubt((1, 1), 4));
        release.went(200.0, (1, 1));
        assert_eq!(release.doubt((1, 1), 1), UNDER_WAY);
        assert!(!release.under_way(60_000.0));
    }
}
