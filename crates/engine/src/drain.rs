//! Lame duck: how a scheduler empties itself for its operators, and comes back.
//!
//! A state machine without I/O or clock: the daemon tells it the calls and the time, and asks it what to do.
//! While it drains, the health check says no so that the front sends new clients elsewhere; kept connections
//! end with their next answer, idle ones at once; what was taken is finished. Jobs that still come on the
//! connections that the front had already opened are taken for a while, since the front may have sent them
//! before it heard the no; after that they are refused, so that none is left held when the drain is judged.
//!
//! What it is not: SIGTERM's stop, which ends the process and is the daemon's own.

use brackenledge_policy::Millis;

/// How long after LAMEDUCK jobs are still taken: the front asks every 0.1 s and sends new connections for 0.2 s
/// after its first no, so what comes later than this came on a connection that had been open for long, and is
/// refused with a time to come back. 4 s after the call no job younger than 2 s may be held.
pub const TAKES_WORK_FOR: Millis = 1_500.0;

/// Where the scheduler stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// In rotation.
    Serving,
    /// Out of rotation since the call at this time.
    LameDuck {
        /// When LAMEDUCK came.
        since: Millis,
    },
}

/// What a call did, for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It began to drain.
    Draining,
    /// It was draining already; nothing changed.
    StillDraining,
    /// It serves again.
    Rejoined,
    /// It was serving already; nothing changed.
    StillServing,
}

impl Change {
    /// The reply's words after `done`.
    pub fn words(self) -> &'static str {
        match self {
            Change::Draining => "draining",
            Change::StillDraining => "draining already",
            Change::Rejoined => "serving",
            Change::StillServing => "serving already",
        }
    }
}

/// See the module's page.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    state: State,
    takes_work_for: Millis,
}

impl Default for Drain {
    fn default() -> Self {
        Drain::new(TAKES_WORK_FOR)
    }
}

impl Drain {
    /// Serving; after LAMEDUCK, jobs are taken for `takes_work_for` milliseconds.
    pub fn new(takes_work_for: Millis) -> Self {
        Drain { state: State::Serving, takes_work_for }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// LAMEDUCK came. A second one changes nothing, so that the drain's times run from the first.
    pub fn lame_duck(&mut self, now: Millis) -> Change {
        match self.state {
            State::Serving => {
                self.state = State::LameDuck { since: now };
                Change::Draining
            }
            State::LameDuck { .. } => Change::StillDraining,
        }
    }

    /// REJOIN came.
    pub fn rejoin(&mut self) -> Change {
        match self.state {
            State::LameDuck { .. } => {
                self.state = State::Serving;
                Change::Rejoined
            }
            State::Serving => Change::StillServing,
        }
    }

    /// Whether the health check says yes.
    pub fn up(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether a connection is kept after its answer.
    pub fn keeps_connections(&self) -> bool {
        self.up()
    }

    /// Whether connections between requests are ended now.
    pub fn ends_idle(&self) -> bool {
        !self.up()
    }

    /// Whether a job that arrives now is taken.
    pub fn takes_work(&self, now: Millis) -> bool {
        match self.state {
            State::Serving => true,
            State::LameDuck { since } => now < since + self.takes_work_for,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Copy, Debug)]
    enum Call {
        LameDuck,
        Rejoin,
    }

    fn play(drain: &mut Drain, call: Call, now: Millis) -> Change {
        match call {
            Call::LameDuck => drain.lame_duck(now),
            Call::Rejoin => drain.rejoin(),
        }
    }

    #[test]
    fn every_pair_of_calls_ends_where_the_second_says() {
        use Call::*;
        let cases = [
            (LameDuck, LameDuck, Change::Draining, Change::StillDraining, false),
            (LameDuck, Rejoin, Change::Draining, Change::Rejoined, true),
            (Rejoin, LameDuck, Change::StillServing, Change::Draining, false),
            (Rejoin, Rejoin, Change::StillServing, Change::StillServing, true),
        ];
        for (first, second, first_change, second_change, up) in cases {
            let mut drain = Drain::default();
            assert_eq!(play(&mut drain, first, 1_000.0), first_change, "{first:?} then {second:?}");
            assert_eq!(play(&mut drain, second, 2_000.0), second_change, "{first:?} then {second:?}");
            assert_eq!(drain.up(), up, "{first:?} then {second:?}");
            assert_eq!(drain.keeps_connections(), up);
            assert_eq!(drain.ends_idle(), !up);
        }
    }

    #[test]
    fn a_second_lame_duck_keeps_the_times_of_the_first() {
        let mut drain = Drain::default();
        drain.lame_duck(1_000.0);
        drain.lame_duck(2_000.0);
        assert_eq!(drain.state(), State::LameDuck { since: 1_000.0 });
        assert!(!drain.takes_work(1_000.0 + TAKES_WORK_FOR));
    }

    #[test]
    fn jobs_are_taken_while_the_front_may_still_send_them_and_refused_after() {
        let mut drain = Drain::default();
        let start = 50_000.0;
        assert!(drain.takes_work(start));
        drain.lame_duck(start);
        // The front asks every 0.1 s and sends on for 0.2 s after its first no.
        for after in [0.0, 100.0, 300.0, 1_000.0] {
            assert!(drain.takes_work(start + after), "{after} ms after the call");
        }
        // No job younger than 2 s may be held 4 s after the call; one taken by then ends by its deadline.
        for after in [TAKES_WORK_FOR, 2_000.0, 4_000.0] {
            assert!(!drain.takes_work(start + after), "{after} ms after the call");
        }
        drain.rejoin();
        assert!(drain.takes_work(start + 4_000.0) && drain.up());
    }

    #[test]
    fn the_operators_window_for_late_jobs_is_kept() {
        for (window, after, taken) in [(0.0, 0.0, false), (500.0, 400.0, true), (500.0, 500.0, false)] {
            let mut drain = Drain::new(window);
            drain.lame_duck(10_000.0);
            assert_eq!(
                drain.takes_work(10_000.0 + after),
                taken,
                "window {window}, {after} ms after the call"
            );
        }
    }
}
