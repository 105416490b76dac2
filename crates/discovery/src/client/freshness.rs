//! How up to date the list from discovery is known to be.

use std::fmt;

/// How up to date the list from discovery is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    /// A watch that has delivered an update or a keep-alive is neither late nor suspected: the table holds
    /// everything that discovery has reported so far.
    Fresh,
    /// There is no such watch, but discovery confirmed or changed the list less than five seconds ago.
    Late,
    /// Discovery has neither confirmed nor changed the list for five seconds.
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
