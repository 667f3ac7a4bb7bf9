//! Workers that fell silent: when what they hold is over is written down, so that a successor doesn't wait anew.
//!
//! An owner that notes a worker's silence knows when the lease there ends. A successor that only knows that the worker doesn't
//! answer has to wait a whole lease from its own claim, and one that follows it soon begins again. So the end is made
//! durable, in the store's time; from then on nothing prolongs the lease until the worker has answered and the mark is gone
//! for certain.

use std::collections::BTreeMap;

use sandshelf_model::{Epoch, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::crash::CrashSuspect;
use crate::ids::WorkerIncarnation;
use crate::scheduler::JobScheduler;
use crate::worker::{LeaseMark, WorkerState};

/// At most one worker of so many may be suspect for those to be marked before they count as silent: where many answer late,
/// it is the way to them that suffers, and the marks would grow large.
const FEW_OF: usize = 10;
/// So many suspects are always few.
const FEW_SUSPECTS: usize = 3;

/// From when on nothing that was leased to a silent worker is at work there, by the store's clock in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorkers {
    /// The owner that wrote it.
    #[serde(default)]
    pub epoch: Epoch,
    /// By worker.
    pub over_at: BTreeMap<WorkerId, u64>,
    /// The runs on each that may have brought it down: those that had begun shortly before it fell silent.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub suspects: BTreeMap<WorkerId, Vec<CrashSuspect>>,
    /// In which life each of those workers had them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lives: BTreeMap<WorkerId, WorkerIncarnation>,
}

/// What is known of the store's clock, from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreClock {
    /// By how much it is ahead of the scheduler's clock at most.
    ahead: Option<i64>,
}

impl StoreClock {
    /// Takes in that it showed `at_most_ms` at most at a time of the scheduler's clock; both clocks are steady, so that the
    /// least such bound holds on.
    pub(crate) fn note(&mut self, at: Millis, at_most_ms: u64) {
        let ahead = at_most_ms as i64 - at as i64;
        self.ahead = Some(self.ahead.map_or(ahead, |known| known.min(ahead)));
    }

    /// What it shows at most at a time of the scheduler's clock.
    fn at_most(&self, at: Millis) -> Option<u64> {
        let shown = at as i64 + self.ahead?;
        u64::try_from(shown).ok()
    }
}

/// The marks of silent workers.
///
/// They are kept apart from what is known of each worker: one that lists omit for a while is forgotten and may come back
/// while its mark can still be read.
#[derive(Clone, Debug, Default)]
pub(crate) struct MarkBook {
    /// As they were last asked to be written.
    asked: SilentWorkers,
    /// Marks that a commit of this number takes away.
    fading: BTreeMap<WorkerId, u64>,
}

impl MarkBook {
    /// Whether a successor would read that a worker's lease ends.
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
        life: Option<WorkerIncarnation>,
        suspects: Vec<CrashSuspect>,
    ) {
        self.fading.remove(worker);
        self.asked.over_at.insert(worker.clone(), over_at);
        if suspects.is_empty() {
            return;
        }
        self.asked.suspects.insert(worker.clone(), suspects);
        if let Some(life) = life {
            self.asked.lives.insert(worker.clone(), life);
        }
    }

    fn take_away(&mut self, worker: &WorkerId, commit: u64) {
        self.asked.over_at.remove(worker);
        self.asked.suspects.remove(worker);
        self.asked.lives.remove(worker);
        self.fading.insert(worker.clone(), commit);
    }

    /// Takes away the marks of workers that are not known any more; returns whether there were any.
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

    /// A commit took effect; returns the workers whose marks are gone for certain.
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
    /// Marks workers that fell silent and takes away the marks of those that answer again, in the commit that has this number;
    /// returns the marks where they changed.
    pub(crate) fn changed_marks(&mut self, now: Millis, commit: u64) -> Option<SilentWorkers> {
        let mut changed = self.marks.take_away_unknown(&self.workers, commit);
        for id in self.unmarked_silent(now) {
            let over_at = self.lease_over_at(now, &id);
            if let Some(over_at) = self.store_clock.at_most(over_at) {
                let state = self.workers.get(&id);
                let life = state.and_then(|state| state.life.name);
                let suspects = state.map_or_else(Vec::new, |state| self.crash_suspects(state));
                self.marks.set(&id, over_at, life, suspects);
                changed = true;
                self.show_mark(&id);
            }
        }
        let answers = |worker: &WorkerState| worker.life.fenced && worker.failed_holds == 0;
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

    /// Workers without a mark that are silent, or about to count as silent while few are.
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

    /// From when on nothing that was leased to a worker can be at work there.
    fn lease_over_at(&self, now: Millis, worker: &WorkerId) -> Millis {
        let known = self.workers.get(worker);
        let own = known.and_then(|worker| worker.life.lease_over_at());
        let recovery = self.recovery.as_ref();
        let inherited = recovery.map(|recovery| recovery.over_at(worker));
        own.or(inherited).unwrap_or(now)
    }

    /// Shows a worker's mark where decisions look at it.
    fn show_mark(&mut self, worker: &WorkerId) {
        let mark = self.marks.of(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.mark = mark;
        }
    }

    /// Takes over an earlier owner's marks: nobody has to wait for a marked worker beyond the time that its mark names.
    pub(crate) fn take_over_marks(&mut self, now: Millis, store_ms: u64, marks: SilentWorkers) {
        let workers: Vec<(WorkerId, u64)> = marks.over_at.clone().into_iter().collect();
        for (id, suspects) in &marks.suspects {
            if let Some(state) = self.workers.get_mut(id) {
                state.suspects.clone_from(suspects);
                state.life.name = marks.lives.get(id).copied().or(state.life.name);
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

    /// A commit took effect: the marks that it took away are gone for certain.
    pub(crate) fn note_marks_gone(&mut self, now: Millis, commit: u64) {
        for id in self.marks.note_committed(commit) {
            self.show_mark(&id);
            self.hold_soon(now, &id);
        }
    }
}
