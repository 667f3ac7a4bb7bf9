//! Cuts of single workers from all hosts, at planned times or after a takeover, and entries of workers that lapse.

use rand::RngExt;
use sandshelf_jobs::{JobEvent, OrderAnswer, RenewalAnswer};
use sandshelf_model::Millis;

use super::cuts::CutManner;
use super::fleet::GONE_LISTED_US;
use super::{EmulatedWorld, WorldEvent};
use crate::queue::MS;

/// How long after its first answer to a new owner a worker is cut off.
const CUT_AFTER_ANSWER_MS: std::ops::Range<Millis> = 10..400;
/// The longest time that a lapsed entry is missing after the store's return.
const MAX_ENTRY_DELAY_MS: Millis = 2_000;
/// How long after the end of a cut a worker reports again, in milliseconds.
const REPORT_DELAY_MS: Millis = 500;

impl EmulatedWorld {
    /// Cuts off a share of the workers.
    pub(super) fn cut_workers(&mut self, percent: usize, manner: CutManner, for_ms: Millis) {
        for place in self.draw_workers(self.fleet.count() * percent / 100) {
            self.cut_worker(place, manner, for_ms);
        }
    }

    /// Cuts off the worker at a place. A cut that refuses connections also closes the open ones, and keeps the worker from reporting, so
    /// that its entry lapses.
    pub(super) fn cut_worker(&mut self, place: usize, manner: CutManner, for_ms: Millis) {
        let until = self.now + for_ms * MS;
        self.monitor.disturb_workers(until);
        if manner == CutManner::Refusing {
            self.close_connections(place);
            let lapsed = self.now + GONE_LISTED_US..until + REPORT_DELAY_MS * MS;
            self.fleet.lapse_entry(place, lapsed);
        }
        self.halls.cut_worker(place, manner, until);
        self.hang_worker(place, for_ms);
    }

    /// Ends the calls that wait at a worker.
    fn close_connections(&mut self, place: usize) {
        let Some(id) = self.fleet.id_at(place).cloned() else {
            return;
        };
        for (from, call) in self.fleet.take_renewals(place) {
            let failed = RenewalAnswer::Failed(OrderAnswer::Unknown);
            self.answer_order(from, call, JobEvent::RenewalAnswered(id.clone(), failed));
        }
    }

    /// Chooses a share of the workers, each of which is cut off once it has answered the next owner.
    pub(super) fn arm_cuts(&mut self, percent: usize, for_ms: Millis) {
        for place in self.draw_workers(self.fleet.count() * percent / 100) {
            let armed_ms = self.armed_cuts.entry(place).or_default();
            *armed_ms = for_ms.max(*armed_ms);
        }
    }

    /// Plans the cut of a worker that has just answered a new owner, if it was chosen for one.
    pub(super) fn plan_armed_cut(&mut self, place: usize) {
        let Some(for_ms) = self.armed_cuts.remove(&place) else {
            return;
        };
        let at = self.now + self.random.random_range(CUT_AFTER_ANSWER_MS) * MS;
        self.queue.push(at, WorldEvent::WorkerCut(place, for_ms));
    }

    /// Removes the entries of a share of the workers from the list; each returns at a random time after `for_ms`.
    pub(super) fn lapse_entries(&mut self, percent: usize, for_ms: Millis) {
        let return_ms = for_ms + MAX_ENTRY_DELAY_MS;
        self.monitor.disturb_workers(self.now + return_ms * MS);
        for place in self.draw_workers(self.fleet.count() * percent / 100) {
            let missing_ms = self.random.random_range(for_ms..=return_ms);
            let returns_at = self.now + missing_ms * MS;
            self.fleet.lapse_entry(place, self.now..returns_at);
        }
    }
}
