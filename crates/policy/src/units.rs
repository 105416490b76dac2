//! Units and ids that are used throughout the crate.

/// A point in time or a duration, in milliseconds. Points in time come from one monotonic clock with an
/// arbitrary origin.
pub type Millis = f64;
/// A job's id, chosen by the caller and never reused during the lifetime of a dispatcher.
pub type JobId = u32;
/// A worker's id: its position, from 0, in the order in which this dispatcher's worker lists first named the
/// workers.
pub type WorkerId = usize;
