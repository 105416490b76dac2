//! Test helpers that several crates share. Nothing here opens a file or a socket or starts a process; the
//! helpers that do are in `test-cluster`.

pub mod hex;
#[cfg(feature = "model-check")]
pub mod model_check;
