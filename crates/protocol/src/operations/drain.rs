//! `[drain]`: draining a scheduler with `LAMEDUCK`.

use super::reader::Key;
use brackenledge_policy::Millis;

/// Settings of the drain.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainOptions {
    /// How long after `LAMEDUCK` jobs are still admitted, in milliseconds.
    pub admission_grace: Millis,
}

// The reason for the default is documented at `ADMISSION_GRACE` in the engine's `drain`.
impl Default for DrainOptions {
    fn default() -> Self {
        DrainOptions { admission_grace: 1_500.0 }
    }
}

pub(super) const KEYS: &[Key<DrainOptions>] = &[
    // 4 s after `LAMEDUCK` no job younger than 2 s may be in flight, so admission must end before 2 s.
    Key {
        name: "takes_work_for_ms",
        expected: "a whole number of milliseconds, 0 to 1900",
        set: |options, entry| {
            options.admission_grace = entry.number(0.0..=1_900.0)?;
            Some(())
        },
    },
];
