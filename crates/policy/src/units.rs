//! The units and ids of the whole crate.

/// A point in time or a duration, in milliseconds. Points in time are read off one clock that never runs backwards and
/// whose origin means nothing.
pub type Millis = f64;
/// A job's id, chosen by the caller and never reused during a dispatcher's life.
pub type JobId = u32;
/// A worker, by its place in the order in which this dispatcher's lists first named it (from 0).
pub type WorkerId = usize;
