//! Orders future events by time; events of the same time come in the order in which they were queued.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Virtual time or a duration in microseconds; times count from the start of the simulation.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MS: Micros = 1_000;

#[derive(Debug)]
struct Entry<T> {
    at: Micros,
    number: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// The next entry compares as the greatest, because `BinaryHeap` is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A priority queue of future events.
#[derive(Debug)]
pub struct EventQueue<T> {
    entries: BinaryHeap<Entry<T>>,
    count: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            count: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Queues an event for the time `at`.
    pub fn push(&mut self, at: Micros, event: T) {
        self.count += 1;
        self.entries.push(Entry {
            at,
            number: self.count,
            event,
        });
    }

    /// Removes the next event with its time; `None` if there is none at or before `until`.
    pub fn pop_until(&mut self, until: Micros) -> Option<(Micros, T)> {
        if self.entries.peek()?.at > until {
            return None;
        }
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
