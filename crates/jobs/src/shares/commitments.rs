//! Decides whether a job may begin beside those that have begun. Pure.
//!
//! The test is that of earliest-deadline-first scheduling: for each due time, the work that is due until then must fit into the capacity
//! until then.

use sandshelf_model::Millis;

use super::capacity::CapacityForecast;

/// Work that is due at a time, in thousandths of a core times milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DueWork {
    pub(crate) due_at: Millis,
    pub(crate) work: f64,
}

/// The work of the jobs that have begun, by due time.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkCommitments {
    now: Millis,
    forecast: CapacityForecast,
    /// Sorted by due time.
    due: Vec<DueWork>,
}

impl WorkCommitments {
    pub(crate) fn new(now: Millis, forecast: CapacityForecast, mut due: Vec<DueWork>) -> Self {
        due.sort_by_key(|work| work.due_at);
        let mut commitments = Self { now, forecast, due };
        commitments.drop_unfeasible();
        commitments
    }

    /// Drops work until the rest can end in time, by the rule of Moore and Hodgson: wherever the work that is due until a time doesn't
    /// fit, the largest of it is dropped. Jobs whose tasks stall on their workers would otherwise hold back all others.
    fn drop_unfeasible(&mut self) {
        let mut sum = 0.0;
        let mut place = 0;
        while let Some(work) = self.due.get(place).copied() {
            sum += work.work;
            place += 1;
            if self.fits(sum, work.due_at) {
                continue;
            }
            let kept = self.due[..place].iter().enumerate();
            let largest = kept.max_by(|(_, one), (_, other)| one.work.total_cmp(&other.work));
            if let Some((largest, _)) = largest {
                sum -= self.due.remove(largest).work;
                place -= 1;
            }
        }
    }

    /// Whether all begun jobs and a further one can end in time. A single job may always begin.
    pub(crate) fn has_capacity_for(&self, more: DueWork) -> bool {
        if self.due.is_empty() {
            return true;
        }
        let mut sum = more.work;
        let mut fits = true;
        let mut counted = false;
        for work in &self.due {
            if work.due_at > more.due_at && !counted {
                counted = true;
                fits &= self.fits(sum, more.due_at);
            }
            sum += work.work;
            if work.due_at >= more.due_at {
                fits &= self.fits(sum, work.due_at);
            }
        }
        fits && (counted || self.fits(sum, more.due_at))
    }

    /// Whether a job could end in time if no other had begun.
    pub(crate) fn fits_alone(&self, more: DueWork) -> bool {
        self.fits(more.work, more.due_at)
    }

    /// Adds the work of a job that begins.
    pub(crate) fn add(&mut self, more: DueWork) {
        let place = self.due.partition_point(|work| work.due_at <= more.due_at);
        self.due.insert(place, more);
    }

    /// The work of the begun jobs that can end in time.
    pub(crate) fn total(&self) -> f64 {
        self.due.iter().map(|work| work.work).sum()
    }

    /// When the commitments were computed.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    pub(crate) fn forecast(&self) -> &CapacityForecast {
        &self.forecast
    }

    fn fits(&self, work: f64, due_at: Millis) -> bool {
        work <= self.forecast.until(due_at.saturating_sub(self.now))
    }
}
