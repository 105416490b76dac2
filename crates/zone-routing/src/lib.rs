//! Where each zone's work goes, decided in common: near while near has room, elsewhere no more than there is room for.
//!
//! Three parts, each driven by its caller, with no I/O, no clock and no randomness:
//!
//! - [`Seen`] is what one scheduler saw in a span, of its own work and of the way to each zone; [`Digest`] is the sum of
//!   what a zone's schedulers saw, the same in whatever order it is summed up, and no larger for 300 than for 10.
//! - [`Planner`] turns [`Evidence`] into a [`Plan`]: which part of each zone's work goes to which zone. It is driven by
//!   whoever owns the duty, under its term.
//! - [`Holder`] is a scheduler's copy: it takes a plan that is newer than its own, goes over to it at the time that the
//!   plan states, and falls back by itself in bounded steps where it hears of none.
//!
//! **The invariants.** A plan's shares and what it refuses sum to the whole of each zone's work. No zone is planned more
//! than [`Settings::goal`] of what it can do where work need not be refused for that, and never more than
//! [`Settings::full`]. Work leaves a zone only where that zone has no room for it. The same evidence gives the same plan, and a
//! plan that would change by little is not changed: at most [`Settings::changes`] in a minute, whatever flaps.
//!
//! **What it is not.** It chooses no worker: that is the decision module's, per job, with the class's rules. It does not
//! know whether a zone is down or cut off from some: it plans by the way from each zone to each, as those there saw it.

mod evidence;
mod holder;
mod plan;
mod planner;
mod pricer;

pub use evidence::{Digest, Evidence, Seen, Way};
pub use holder::{Holder, Older, Use};
pub use plan::{PLAN_MOST, Plan, Stamp};
pub use planner::{Cause, Planner, Settings};
pub use pricer::Pricer;

/// Milliseconds on the clock that all machines read.
pub type Millis = u64;

/// Zones, at most: a plan between so many still fits a datagram.
pub const ZONES_MOST: usize = 12;
