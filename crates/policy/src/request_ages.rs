//! The age of requests: a client that retries has less time left than it had at first.

use crate::units::Millis;

/// The longest time that clients had left, by class. First requests have it.
pub(crate) struct RequestAges(Vec<Millis>);

impl RequestAges {
    /// Nothing is known of this many classes yet.
    pub(crate) fn new(classes: usize) -> Self {
        RequestAges(vec![0.0; classes])
    }

    /// How long ago the client first sent a request that arrives now with so much time left.
    pub(crate) fn observe(&mut self, class: usize, time_left: Millis) -> Millis {
        let longest = &mut self.0[class];
        *longest = longest.max(time_left);
        *longest - time_left
    }
}
