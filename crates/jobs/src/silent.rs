//! Silence records: the end of a silent worker's lease is written durably, so that a successor
//! doesn't wait for it anew.
//!
//! An owner that notices a worker's silence knows when the worker's lease ends. A successor that
//! only knows that the worker doesn't answer has to wait for a full lease from its own claim, and
//! the next owner has to wait anew. So the end of the lease is made durable, on the store's clock.
//! From then on nothing extends the lease until the worker has answered and the record is certainly
//! removed.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Epoch, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::commit_budget::CommitBudget;
use crate::crash::CrashSuspect;
use crate::ids::WorkerIncarnation;
use crate::scheduler::JobScheduler;
use crate::worker::{SilenceRecord, WorkerState};
use crate::worker_page::WorkerPage;

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

/// A change of the stored silence records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilenceChange {
    /// The new content of each changed page.
    pub pages: BTreeMap<WorkerPage, SilentWorkers>,
}

impl SilenceChange {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    /// Applies the change to the records of all workers.
    pub fn apply_to(&self, records: &mut SilentWorkers) {
        let stays = |worker: &WorkerId| !self.pages.contains_key(&WorkerPage::of(worker));
        records.over_at.retain(|worker, _| stays(worker));
        records.suspects.retain(|worker, _| stays(worker));
        records.lives.retain(|worker, _| stays(worker));
        for page in self.pages.values() {
            records.add_page(page.clone());
        }
    }
}

impl SilentWorkers {
    /// Adds the records of a page.
    pub fn add_page(&mut self, page: SilentWorkers) {
        self.epoch = self.epoch.max(page.epoch);
        self.over_at.extend(page.over_at);
        self.suspects.extend(page.suspects);
        self.lives.extend(page.lives);
    }

    fn remove(&mut self, worker: &WorkerId) {
        self.over_at.remove(worker);
        self.suspects.remove(worker);
        self.lives.remove(worker);
    }

    /// Splits the records into pages.
    fn into_pages(self) -> BTreeMap<WorkerPage, SilentWorkers> {
        let mut pages: BTreeMap<WorkerPage, SilentWorkers> = BTreeMap::new();
        for (worker, over_at) in self.over_at {
            let page = pages.entry(WorkerPage::of(&worker)).or_default();
            page.over_at.insert(worker, over_at);
        }
        for (worker, suspects) in self.suspects {
            let page = pages.entry(WorkerPage::of(&worker)).or_default();
            page.suspects.insert(worker, suspects);
        }
        for (worker, incarnation) in self.lives {
            let page = pages.entry(WorkerPage::of(&worker)).or_default();
            page.lives.insert(worker, incarnation);
        }
        pages
    }
}

/// When a removed record can no longer be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordRemoval {
    /// No commit that removes it was requested yet.
    Wanted,
    /// Once the commit with this number has taken effect.
    Requested(u64),
}

/// The silence records of all workers.
///
/// They are kept apart from the state of the workers: a worker that lists omit for a while is
/// forgotten, and may come back while its record can still be read.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilenceRecords {
    /// The records that belong in the store.
    pages: BTreeMap<WorkerPage, SilentWorkers>,
    /// The pages whose stored content differs.
    changed: BTreeSet<WorkerPage>,
    /// Records that don't belong in the store any more, but that a successor could still read.
    removals: BTreeMap<WorkerId, RecordRemoval>,
}

impl SilenceRecords {
    fn contains(&self, worker: &WorkerId) -> bool {
        let page = self.pages.get(&WorkerPage::of(worker));
        page.is_some_and(|page| page.over_at.contains_key(worker))
    }

    fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.pages.values().flat_map(|page| page.over_at.keys())
    }

    /// Whether a successor could read a silence record of a worker.
    pub(crate) fn state_of(&self, worker: &WorkerId) -> SilenceRecord {
        match self.removals.get(worker) {
            _ if self.contains(worker) => SilenceRecord::Written,
            Some(RecordRemoval::Wanted) => SilenceRecord::Written,
            Some(RecordRemoval::Requested(commit)) => SilenceRecord::Removed(*commit),
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
        self.removals.remove(worker);
        let number = WorkerPage::of(worker);
        self.changed.insert(number);
        let page = self.pages.entry(number).or_default();
        page.over_at.insert(worker.clone(), over_at);
        if suspects.is_empty() {
            return;
        }
        page.suspects.insert(worker.clone(), suspects);
        if let Some(incarnation) = incarnation {
            page.lives.insert(worker.clone(), incarnation);
        }
    }

    /// Raises the end of the lease in the record of a worker, if there is one.
    pub(crate) fn raise(&mut self, worker: &WorkerId, over_at: u64) {
        let number = WorkerPage::of(worker);
        let page = self.pages.get_mut(&number);
        let known = page.and_then(|page| page.over_at.get_mut(worker));
        if let Some(known) = known.filter(|known| **known < over_at) {
            *known = over_at;
            self.changed.insert(number);
        }
    }

    fn remove_record(&mut self, worker: &WorkerId) {
        let number = WorkerPage::of(worker);
        if let Some(page) = self.pages.get_mut(&number) {
            page.remove(worker);
        }
        self.changed.insert(number);
        self.removals.insert(worker.clone(), RecordRemoval::Wanted);
    }

    /// Removes the records of workers that are not known any more.
    fn remove_unknown(&mut self, known: &BTreeMap<WorkerId, WorkerState>) {
        let unknown = self.workers().filter(|id| !known.contains_key(*id));
        let unknown: Vec<WorkerId> = unknown.cloned().collect();
        for worker in &unknown {
            self.remove_record(worker);
        }
    }

    /// The changed pages, as many as fit into the commit with this number. Returns them with the
    /// workers whose records the commit removes.
    fn request_changes(
        &mut self,
        epoch: Epoch,
        commit: u64,
        budget: &mut CommitBudget,
    ) -> (SilenceChange, Vec<WorkerId>) {
        let mut change = SilenceChange::default();
        for number in self.changed.iter().copied().collect::<Vec<_>>() {
            let page = self.pages.entry(number).or_default();
            page.epoch = epoch;
            if !budget.take(page) {
                break;
            }
            change.pages.insert(number, page.clone());
            self.changed.remove(&number);
        }
        let mut removed = Vec::new();
        for (worker, removal) in &mut self.removals {
            let requested = change.pages.contains_key(&WorkerPage::of(worker));
            if *removal == RecordRemoval::Wanted && requested {
                *removal = RecordRemoval::Requested(commit);
                removed.push(worker.clone());
            }
        }
        (change, removed)
    }

    /// Handles a commit that took effect. Returns the workers whose records are certainly removed.
    fn note_committed(&mut self, commit: u64) -> Vec<WorkerId> {
        let removed = self.removals.iter();
        let removed = removed.filter(|(_, removal)| **removal == RecordRemoval::Requested(commit));
        let removed: Vec<WorkerId> = removed.map(|(worker, _)| worker.clone()).collect();
        for worker in &removed {
            self.removals.remove(worker);
        }
        removed
    }
}

impl JobScheduler {
    /// Adds records of workers that have become silent and removes those of workers that answer
    /// again.
    pub(crate) fn update_silence_records(&mut self, now: Millis) {
        self.silence_records.remove_unknown(&self.workers);
        for id in self.silent_without_record(now) {
            let over_at = self.lease_expires_at(now, &id);
            if let Some(over_at) = self.store_clock.at_most(over_at) {
                let state = self.workers.get(&id);
                let incarnation = state.and_then(|state| state.incarnation.id);
                let suspects = state.map_or_else(Vec::new, |state| self.crash_suspects(state));
                self.silence_records
                    .add_record(&id, over_at, incarnation, suspects);
                self.sync_silence_record(&id);
            }
        }
        let answers =
            |worker: &WorkerState| worker.incarnation.fenced && worker.failed_renewals == 0;
        let answering = self.silence_records.workers();
        let answering = answering.filter(|id| self.workers.get(*id).is_some_and(answers));
        let answering: Vec<WorkerId> = answering.cloned().collect();
        for id in answering {
            self.silence_records.remove_record(&id);
        }
    }

    /// The changed pages of silence records, as many as fit into the commit with this number.
    pub(crate) fn changed_silence_records(
        &mut self,
        commit: u64,
        budget: &mut CommitBudget,
    ) -> SilenceChange {
        let (change, removed) = self
            .silence_records
            .request_changes(self.epoch, commit, budget);
        for worker in removed {
            self.sync_silence_record(&worker);
        }
        change
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
    pub(crate) fn lease_expires_at(&self, now: Millis, worker: &WorkerId) -> Millis {
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
                let incarnation = records.lives.get(id).copied();
                if state.incarnation.is_other(incarnation) {
                    state.incarnation.accounted = false;
                }
                state.incarnation.id = incarnation.or(state.incarnation.id);
            }
        }
        self.silence_records.pages = records.into_pages();
        for (id, over_at) in workers {
            self.sync_silence_record(&id);
            let until = now + over_at.saturating_sub(store_ms);
            let state = self.workers.get(&id);
            let other_until = state.map_or(0, |state| state.incarnation.other_leases_until());
            let recovery = self.recovery.as_mut();
            if let Some(known) = recovery.and_then(|recovery| recovery.unanswered.get_mut(&id)) {
                *known = until.min(*known).max(other_until);
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
