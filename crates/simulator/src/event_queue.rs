//! The event queue of a discrete-event simulation, ordered by virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Virtual time in microseconds.
pub(crate) type Micros = u64;

const MICROS_PER_MILLI: f64 = 1_000.0;

struct ScheduledEvent<E> {
    at: Micros,
    /// Number of the event in the order of scheduling. It is unique in a queue and breaks ties in time.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A priority queue by time. Events with the same time are returned in the order in which they were
/// scheduled, so that equal seeds give equal runs.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    scheduled_count: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled_count: 0 }
    }

    /// The number of events scheduled so far, those already returned included.
    pub fn scheduled_count(&self) -> u64 {
        self.scheduled_count
    }

    pub fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    /// Removes the next event if it is due by `until`, and returns it with its time. Both times are in
    /// milliseconds.
    pub fn pop_due(&mut self, until: f64) -> Option<(f64, E)> {
        let Reverse(next) = self.heap.peek()?;
        if to_millis(next.at) > until {
            return None;
        }
        let Reverse(next) = self.heap.pop()?;
        Some((to_millis(next.at), next.event))
    }
}

/// Converts milliseconds to microseconds, rounding up.
pub(crate) fn to_micros(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI).ceil() as Micros
}

fn to_millis(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
