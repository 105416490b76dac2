//! How far the list held can be relied on.

use std::fmt;

/// How far discovery's list can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    /// A watch is open and on time: the table holds what discovery has reported so far.
    Fresh,
    /// The watch is late or has just broken; a newer list is asked for.
    Late,
    /// Nothing has been confirmed for five seconds.
    Stale,
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Freshness::Fresh => "fresh",
            Freshness::Late => "late",
            Freshness::Stale => "stale",
        })
    }
}
