//! The queue of requests that wait for a slot, in order of arrival within each class.
//!
//! The router bounds the length of the queue and serves the classes in turn.

use std::collections::{BTreeMap, VecDeque};

use sandshelf_model::{Millis, ServiceId};

use crate::events::RequestInfo;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request's properties.
    pub info: RequestInfo,
    /// The time at which it was queued.
    pub since: Millis,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Whether one of these attempts may have run.
    pub may_have_run: bool,
}

impl QueuedRequest {
    /// Creates an entry for a request without attempts.
    pub fn fresh(info: RequestInfo, since: Millis) -> Self {
        Self {
            info,
            since,
            attempts: 0,
            may_have_run: false,
        }
    }
}

/// Waiting requests, in one list per class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    classes: BTreeMap<ServiceId, VecDeque<QueuedRequest>>,
    length: usize,
}

impl ClassQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of waiting requests of a class.
    pub fn len_of(&self, class: &ServiceId) -> usize {
        self.classes.get(class).map_or(0, VecDeque::len)
    }

    /// Returns the number of classes with waiting requests.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Adds a request at the end of its class's list, or at the front if it is a retry.
    pub fn push(&mut self, request: QueuedRequest) {
        let list = self.classes.entry(request.info.class.clone()).or_default();
        if request.attempts > 0 {
            list.push_front(request);
        } else {
            list.push_back(request);
        }
        self.length += 1;
    }

    /// Removes and returns the first request of a class; `None` if none waits.
    pub fn pop(&mut self, class: &ServiceId) -> Option<QueuedRequest> {
        let list = self.classes.get_mut(class)?;
        let request = list.pop_front();
        if list.is_empty() {
            self.classes.remove(class);
        }
        self.length -= usize::from(request.is_some());
        request
    }

    /// Removes and returns the requests whose deadline is at or before `now`.
    pub fn take_expired(&mut self, now: Millis) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for list in self.classes.values_mut() {
            let (overdue, waiting) = list
                .drain(..)
                .partition(|request| request.info.deadline <= now);
            *list = waiting;
            expired.extend::<VecDeque<QueuedRequest>>(overdue);
        }
        self.classes.retain(|_, list| !list.is_empty());
        self.length -= expired.len();
        expired
    }

    /// Returns the classes with waiting requests, sorted by name.
    pub fn classes(&self) -> Vec<ServiceId> {
        self.classes.keys().cloned().collect()
    }
}
