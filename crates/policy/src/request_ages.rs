//! Estimates the age of a request from the time that its client still waits: a client that retries has less
//! time left than it had for the first request.

use crate::units::Millis;

/// The longest time left that was seen, by class. It is taken as the time left of a first request.
pub(crate) struct RequestAges(Vec<Millis>);

impl RequestAges {
    pub(crate) fn new(classes: usize) -> Self {
        RequestAges(vec![0.0; classes])
    }

    /// Records the time left of an arriving request. Returns the estimated time since the client first sent
    /// it.
    pub(crate) fn observe(&mut self, class: usize, time_left: Millis) -> Millis {
        let longest = &mut self.0[class];
        *longest = longest.max(time_left);
        *longest - time_left
    }
}
