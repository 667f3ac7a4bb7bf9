//! Silence records: the end of a silent worker's lease is written durably, so that a successor
//! doesn't wait for it anew.
//!
//! An owner that notices a worker's silence knows when the worker's lease ends. A successor that
//! only knows that the worker doesn't answer has to wait for a full lease from its own claim, and
//! the next owner has to wait anew. So the end of the lease is made durable, on the store's clock.
//! From then on nothing extends the lease until the worker has answered and the record is certainly
//! removed.

use std::collections::BTreeMap;

use sandshelf_model::{Epoch, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::crash::CrashSuspect;
use crate::ids::WorkerLife;
use crate::scheduler::JobScheduler;
use crate::worker::{LeaseMark, WorkerState};

/// Unresponsive workers get a silence record before they count as silent if at most one worker in
/// this many is unresponsive. Where many answer late, the network to them is at fault, and the
/// records would grow large.
const FEW_OF: usize = 10;
/// Up to this number of unresponsive workers get a silence record early in a fleet of any size.
const FEW_SUSPECTS: usize = 3;

/// The times from which nothing that was leased to a silent worker is running there, on the store's
/// clock in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorkers {
    /// The epoch of the owner that wrote it.
    #[serde(default)]
    pub epoch: Epoch,
    /// The end of the lease, by worker.
    pub over_at: BTreeMap<WorkerId, u64>,
    /// The runs on each worker that may have caused a crash of it: those that had begun shortly
    /// before it became silent.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub suspects: BTreeMap<WorkerId, Vec<CrashSuspect>>,
    /// The incarnation in which each of these workers had its suspects.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lives: BTreeMap<WorkerId, WorkerLife>,
}

/// An estimate of the store's clock from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreClock {
    /// An upper bound of its lead over the scheduler's clock, in milliseconds; `None` before the
    /// first answer.
    ahead: Option<i64>,
}

impl StoreClock {
    /// Records that the store's clock showed `at_most_ms` at most at the scheduler's time `at`.
    /// Both clocks run at the same rate, so the lowest bound stays valid.
    pub(crate) fn note(&mut self, at: Millis, at_most_ms: u64) {
        let ahead = at_most_ms as i64 - at as i64;
        self.ahead = Some(self.ahead.map_or(ahead, |known| known.min(ahead)));
    }

    /// The highest value that the store's clock can show at a time of the scheduler's clock.
    fn at_most(&self, at: Millis) -> Option<u64> {
        let shown = at as i64 + self.ahead?;
        u64::try_from(shown).ok()
    }
}

/// The silence records of all workers.
///
/// They are kept apart from the state of the workers: a worker that lists omit for a while is
/// forgotten, and may come back while its record can still be read.
#[derive(Clone, Debug, Default)]
pub(crate) struct MarkBook {
    /// The records as the last commit request contained them.
    asked: SilentWorkers,
    /// Records that the commit with this number removes.
    fading: BTreeMap<WorkerId, u64>,
}

impl MarkBook {
    /// Whether a successor could read a silence record of a worker.
    pub(crate) fn of(&self, worker: &WorkerId) -> LeaseMark {
        match self.fading.get(worker) {
            _ if self.asked.over_at.contains_key(worker) => LeaseMark::Marked,
            Some(commit) => LeaseMark::Removed(*commit),
            None => LeaseMark::None,
        }
    }

    fn set(
        &mut self,
        worker: &WorkerId,
        over_at: u64,
        incarnation: Option<WorkerLife>,
        suspects: Vec<CrashSuspect>,
    ) {
        self.fading.remove(worker);
        self.asked.over_at.insert(worker.clone(), over_at);
        if suspects.is_empty() {
            return;
        }
        self.asked.suspects.insert(worker.clone(), suspects);
        if let Some(incarnation) = incarnation {
            self.asked.lives.insert(worker.clone(), incarnation);
        }
    }

    fn take_away(&mut self, worker: &WorkerId, commit: u64) {
        self.asked.over_at.remove(worker);
        self.asked.suspects.remove(worker);
        self.asked.lives.remove(worker);
        self.fading.insert(worker.clone(), commit);
    }

    /// Removes the records of workers that are not known any more. Returns whether there were any.
    fn take_away_unknown(&mut self, known: &BTreeMap<WorkerId, WorkerState>, commit: u64) -> bool {
        let marked = self.asked.over_at.keys();
        let unknown: Vec<WorkerId> = marked
            .filter(|id| !known.contains_key(id))
            .cloned()
            .collect();
        for worker in &unknown {
            self.take_away(worker, commit);
        }
        !unknown.is_empty()
    }

    /// Handles a commit that took effect. Returns the workers whose records are certainly removed.
    fn note_committed(&mut self, commit: u64) -> Vec<WorkerId> {
        let gone = self.fading.iter().filter(|(_, with)| **with == commit);
        let gone: Vec<WorkerId> = gone.map(|(worker, _)| worker.clone()).collect();
        for worker in &gone {
            self.fading.remove(worker);
        }
        gone
    }
}

impl JobScheduler {
    /// Adds records of workers that have become silent and removes those of workers that answer
    /// again, with the commit of this number. Returns all records if any changed.
    pub(crate) fn changed_marks(&mut self, now: Millis, commit: u64) -> Option<SilentWorkers> {
        let mut changed = self.marks.take_away_unknown(&self.workers, commit);
        for id in self.unmarked_silent(now) {
            let over_at = self.lease_expires_at(now, &id);
            if let Some(over_at) = self.store_clock.at_most(over_at) {
                let state = self.workers.get(&id);
                let incarnation = state.and_then(|state| state.incarnation.id);
                let suspects = state.map_or_else(Vec::new, |state| self.crash_suspects(state));
                self.marks.set(&id, over_at, incarnation, suspects);
                changed = true;
                self.show_mark(&id);
            }
        }
        let answers =
            |worker: &WorkerState| worker.incarnation.fenced && worker.failed_renewals == 0;
        let back = self.workers.iter();
        let back = back.filter(|(_, worker)| worker.mark == LeaseMark::Marked && answers(worker));
        let back: Vec<WorkerId> = back.map(|(id, _)| id.clone()).collect();
        for id in back {
            self.marks.take_away(&id, commit);
            changed = true;
            self.show_mark(&id);
        }
        self.marks.asked.epoch = self.epoch;
        changed.then(|| self.marks.asked.clone())
    }

    /// Workers without a record that are silent, or that are unresponsive while few workers are.
    fn unmarked_silent(&self, now: Millis) -> Vec<WorkerId> {
        let suspects = self.workers.values();
        let suspects = suspects.filter(|worker| worker.is_suspect(now)).count();
        let few = suspects <= FEW_SUSPECTS || suspects * FEW_OF <= self.workers.len();
        let wanted = |worker: &WorkerState| {
            let silent = worker.is_silent(now) && worker.is_suspect(now);
            worker.mark == LeaseMark::None && (silent || few && worker.is_suspect(now))
        };
        let unmarked = self.workers.iter().filter(|(_, worker)| wanted(worker));
        unmarked.map(|(id, _)| id.clone()).collect()
    }

    /// The time from which nothing that was leased to a worker can be running there.
    fn lease_expires_at(&self, now: Millis, worker: &WorkerId) -> Millis {
        let known = self.workers.get(worker);
        let own = known.and_then(|worker| worker.incarnation.lease_expires_at());
        let recovery = self.recovery.as_ref();
        let inherited = recovery.map(|recovery| recovery.over_at(worker));
        own.or(inherited).unwrap_or(now)
    }

    /// Copies a worker's record state to the worker, where decisions read it.
    fn show_mark(&mut self, worker: &WorkerId) {
        let mark = self.marks.of(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.mark = mark;
        }
    }

    /// Takes over an earlier owner's records: nobody waits for a recorded worker beyond the time in
    /// its record.
    pub(crate) fn take_over_marks(&mut self, now: Millis, store_ms: u64, marks: SilentWorkers) {
        let workers: Vec<(WorkerId, u64)> = marks.over_at.clone().into_iter().collect();
        for (id, suspects) in &marks.suspects {
            if let Some(state) = self.workers.get_mut(id) {
                state.suspects.clone_from(suspects);
                state.incarnation.id = marks.lives.get(id).copied().or(state.incarnation.id);
            }
        }
        self.marks.asked = marks;
        for (id, over_at) in workers {
            self.show_mark(&id);
            let until = now + over_at.saturating_sub(store_ms);
            let recovery = self.recovery.as_mut();
            if let Some(known) = recovery.and_then(|recovery| recovery.unanswered.get_mut(&id)) {
                *known = until.min(*known);
            }
        }
    }

    /// Handles a commit that took effect: the records that it removed can't be read any more.
    pub(crate) fn note_marks_gone(&mut self, now: Millis, commit: u64) {
        for id in self.marks.note_committed(commit) {
            self.show_mark(&id);
            self.renew_soon(now, &id);
        }
    }
}
