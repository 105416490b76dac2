//! SIGTERM's stop: until when clients are served on, and by when the last of them has its answer.
//!
//! The platform ends a process with SIGKILL no sooner than the longest deadline of its settings, taken as 3 s where it
//! is longer, and 0.7 s after SIGTERM. All times here follow from that one, for deadlines are the operators' own: with
//! deadlines of 1 s a program that serves on for 2 s meets SIGKILL with requests in hand.
//!
//! What it is not: the operators' lame duck, after which the process goes on ([`crate::drain`]).

use brackenledge_policy::Millis;

/// The longest deadline that SIGKILL waits for.
const WAITED_FOR: Millis = 3_000.0;
/// How long after that deadline it comes.
const BEHIND: Millis = 700.0;
/// What is left of that time for a slow core, and for many answers that are due at one moment, to be written.
const MARGIN: Millis = 300.0;
/// New clients come for 0.4 s after SIGTERM; a little later all of them have been let in.
const NEW_CLIENTS: Millis = 450.0;
/// The part of the time until all must be answered in which clients are served on: the others of the tier may be
/// stopping too, so whoever has a connection here is better off with it, and the last to come needs time to be served.
const SERVE_PART: f64 = 0.6;

/// A stop under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shutdown {
    since: Millis,
    longest: Millis,
}

impl Shutdown {
    /// SIGTERM came; `longest` is the longest deadline in the settings.
    pub fn new(now: Millis, longest: Millis) -> Self {
        Shutdown { since: now, longest: longest.clamp(0.0, WAITED_FOR) }
    }

    /// When everything that was taken must have its answer.
    pub fn answer_by(&self) -> Millis {
        self.since + self.longest + BEHIND - MARGIN
    }

    /// Until when clients are served as before. After that they are given their answers and the connection's end.
    pub fn serve_until(&self) -> Millis {
        let all = self.answer_by() - self.since;
        self.since + (SERVE_PART * all).max(NEW_CLIENTS).min(all)
    }

    /// Whether clients get no further request in.
    pub fn closing(&self, now: Millis) -> bool {
        now >= self.serve_until()
    }

    /// The time that a job arriving now may take.
    pub fn time_left(&self, now: Millis) -> Millis {
        (self.answer_by() - now).max(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_is_answered_before_the_protocols_sigkill_whatever_the_deadlines() {
        for longest in [50.0, 200.0, 800.0, 1_500.0, 3_000.0, 5_000.0, 60_000.0] {
            let stop = Shutdown::new(10.0, longest);
            let sigkill = 10.0 + longest.min(3_000.0) + 700.0;
            assert!(stop.answer_by() < sigkill, "{longest}");
            // Whoever comes while the front still sends new clients is served.
            assert!(stop.serve_until() >= 10.0 + 400.0 && !stop.closing(410.0), "{longest}");
            assert!(stop.serve_until() <= stop.answer_by(), "{longest}");
            assert_eq!(stop.time_left(stop.answer_by() + 1.0), 0.0);
        }
    }

    #[test]
    fn with_long_deadlines_clients_are_served_on_for_two_seconds() {
        let stop = Shutdown::new(0.0, 6_000.0);
        assert_eq!((stop.answer_by(), stop.serve_until()), (3_400.0, 2_040.0));
    }
}
