//! How far the list held can be relied on.

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
