//! The events of a simulation in the order of their virtual times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Virtual time in microseconds.
pub(crate) type Micros = u64;

const MICROS_PER_MILLI: f64 = 1_000.0;

struct ScheduledEvent<E> {
    at: Micros,
    /// Orders events of the same time as they were scheduled; unique in a queue.
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

/// A priority queue by time; events of the same time come out in the order in which they were scheduled, so that a run
/// is a function of its seed.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    scheduled_count: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled_count: 0 }
    }

    /// Events scheduled so far.
    pub fn scheduled_count(&self) -> u64 {
        self.scheduled_count
    }

    pub fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    /// The next event that is due by a time in milliseconds, with its own time in milliseconds.
    pub fn pop_due(&mut self, until: f64) -> Option<(f64, E)> {
        let Reverse(next) = self.heap.peek()?;
        if to_millis(next.at) > until {
            return None;
        }
        let Reverse(next) = self.heap.pop()?;
        Some((to_millis(next.at), next.event))
    }
}

/// The first microsecond that is not before a time in milliseconds.
pub(crate) fn to_micros(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI).ceil() as Micros
}

fn to_millis(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
