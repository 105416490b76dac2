//! What the tests of several crates share. Nothing here opens a file, a socket or a process; that is `test-cluster`'s.

pub mod hex;
#[cfg(feature = "model-check")]
pub mod model_check;
