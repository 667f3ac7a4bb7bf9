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
use crate::ids::WorkerIncarnation;
use crate::scheduler::JobScheduler;
use crate::worker::{SilenceRecord, WorkerState};

/// Unresponsive workers get a silence record before they count as silent if at most one worker in
/// this many is unresponsive. Where many answer late, the network to them is at fault, and the
/// records would grow large.
const WORKERS_PER_UNRESPONSIVE: usize = 10;
/// Up to this number of unresponsive workers get a silence record early in a fleet of any size.
const FEW_UNRESPONSIVE: usize = 3;

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
    pub lives: BTreeMap<WorkerId, WorkerIncarnation>,
}

/// An estimate of the store's clock from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreClock {
    /// An upper bound of its lead over the scheduler's clock, in milliseconds; `None` before the
    /// first answer.
    lead_ms: Option<i64>,
}

impl StoreClock {
    /// Records that the store's clock showed `at_most_ms` at most at the scheduler's time `at`.
    /// Both clocks run at the same rate, so the lowest bound stays valid.
    pub(crate) fn note(&mut self, at: Millis, at_most_ms: u64) {
        let lead_ms = at_most_ms as i64 - at as i64;
        self.lead_ms = Some(self.lead_ms.map_or(lead_ms, |known| known.min(lead_ms)));
    }

    /// The highest value that the store's clock can show at a time of the scheduler's clock.
    fn max_clock_at(&self, at: Millis) -> Option<u64> {
        let shown = at as i64 + self.lead_ms?;
        u64::try_from(shown).ok()
    }
}

/// The silence records of all workers.
///
/// They are kept apart from the state of the workers: a worker that lists omit for a while is
/// forgotten, and may come back while its record can still be read.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilenceRecords {
    /// The records as the last commit request contained them.
    requested: SilentWorkers,
    /// Records that the commit with this number removes.
    being_removed: BTreeMap<WorkerId, u64>,
}

impl SilenceRecords {
    /// Whether a successor could read a silence record of a worker.
    pub(crate) fn state_of(&self, worker: &WorkerId) -> SilenceRecord {
        match self.being_removed.get(worker) {
            _ if self.requested.over_at.contains_key(worker) => SilenceRecord::Written,
            Some(commit) => SilenceRecord::Removed(*commit),
            None => SilenceRecord::None,
        }
    }

    fn add_record(
        &mut self,
        worker: &WorkerId,
        over_at: u64,
        incarnation: Option<WorkerIncarnation>,
        suspects: Vec<CrashSuspect>,
    ) {
        self.being_removed.remove(worker);
        self.requested.over_at.insert(worker.clone(), over_at);
        if suspects.is_empty() {
            return;
        }
        self.requested.suspects.insert(worker.clone(), suspects);
        if let Some(incarnation) = incarnation {
            self.requested.lives.insert(worker.clone(), incarnation);
        }
    }

    fn remove_record(&mut self, worker: &WorkerId, commit: u64) {
        self.requested.over_at.remove(worker);
        self.requested.suspects.remove(worker);
        self.requested.lives.remove(worker);
        self.being_removed.insert(worker.clone(), commit);
    }

    /// Removes the records of workers that are not known any more. Returns whether there were any.
    fn remove_unknown(&mut self, known: &BTreeMap<WorkerId, WorkerState>, commit: u64) -> bool {
        let recorded = self.requested.over_at.keys();
        let unknown: Vec<WorkerId> = recorded
            .filter(|id| !known.contains_key(id))
            .cloned()
            .collect();
        for worker in &unknown {
            self.remove_record(worker, commit);
        }
        !unknown.is_empty()
    }

    /// Handles a commit that took effect. Returns the workers whose records are certainly removed.
    fn note_committed(&mut self, commit: u64) -> Vec<WorkerId> {
        let removed = self
            .being_removed
            .iter()
            .filter(|(_, with)| **with == commit);
        let removed: Vec<WorkerId> = removed.map(|(worker, _)| worker.clone()).collect();
        for worker in &removed {
            self.being_removed.remove(worker);
        }
        removed
    }
}

impl JobScheduler {
    /// Adds records of workers that have become silent and removes those of workers that answer
    /// again, with the commit of this number. Returns all records if any changed.
    pub(crate) fn update_silence_records(
        &mut self,
        now: Millis,
        commit: u64,
    ) -> Option<SilentWorkers> {
        let mut changed = self.silence_records.remove_unknown(&self.workers, commit);
        for id in self.silent_without_record(now) {
            let over_at = self.lease_expires_at(now, &id);
            if let Some(over_at) = self.store_clock.max_clock_at(over_at) {
                let state = self.workers.get(&id);
                let incarnation = state.and_then(|state| state.incarnation.id);
                let suspects = state.map_or_else(Vec::new, |state| self.crash_suspects(state));
                self.silence_records
                    .add_record(&id, over_at, incarnation, suspects);
                changed = true;
                self.sync_silence_record(&id);
            }
        }
        let answers =
            |worker: &WorkerState| worker.incarnation.fenced && worker.failed_renewals == 0;
        let answering = self.workers.iter();
        let answering = answering.filter(|(_, worker)| {
            worker.silence_record == SilenceRecord::Written && answers(worker)
        });
        let answering: Vec<WorkerId> = answering.map(|(id, _)| id.clone()).collect();
        for id in answering {
            self.silence_records.remove_record(&id, commit);
            changed = true;
            self.sync_silence_record(&id);
        }
        self.silence_records.requested.epoch = self.epoch;
        changed.then(|| self.silence_records.requested.clone())
    }

    /// Workers without a record that are silent, or that are unresponsive while few workers are.
    fn silent_without_record(&self, now: Millis) -> Vec<WorkerId> {
        let unresponsive = self.workers.values();
        let unresponsive = unresponsive
            .filter(|worker| worker.is_unresponsive(now))
            .count();
        let few = unresponsive <= FEW_UNRESPONSIVE
            || unresponsive * WORKERS_PER_UNRESPONSIVE <= self.workers.len();
        let wanted = |worker: &WorkerState| {
            let silent = worker.is_silent(now) && worker.is_unresponsive(now);
            worker.silence_record == SilenceRecord::None
                && (silent || few && worker.is_unresponsive(now))
        };
        let unrecorded = self.workers.iter().filter(|(_, worker)| wanted(worker));
        unrecorded.map(|(id, _)| id.clone()).collect()
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
    fn sync_silence_record(&mut self, worker: &WorkerId) {
        let silence_record = self.silence_records.state_of(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.silence_record = silence_record;
        }
    }

    /// Takes over an earlier owner's records: nobody waits for a recorded worker beyond the time in
    /// its record.
    pub(crate) fn inherit_silence_records(
        &mut self,
        now: Millis,
        store_ms: u64,
        records: SilentWorkers,
    ) {
        let workers: Vec<(WorkerId, u64)> = records.over_at.clone().into_iter().collect();
        for (id, suspects) in &records.suspects {
            if let Some(state) = self.workers.get_mut(id) {
                state.suspects.clone_from(suspects);
                state.incarnation.id = records.lives.get(id).copied().or(state.incarnation.id);
            }
        }
        self.silence_records.requested = records;
        for (id, over_at) in workers {
            self.sync_silence_record(&id);
            let until = now + over_at.saturating_sub(store_ms);
            let recovery = self.recovery.as_mut();
            if let Some(known) = recovery.and_then(|recovery| recovery.unanswered.get_mut(&id)) {
                *known = until.min(*known);
            }
        }
    }

    /// Handles a commit that took effect: the records that it removed can't be read any more.
    pub(crate) fn note_records_removed(&mut self, now: Millis, commit: u64) {
        for id in self.silence_records.note_committed(commit) {
            self.sync_silence_record(&id);
            self.renew_soon(now, &id);
        }
    }
}
