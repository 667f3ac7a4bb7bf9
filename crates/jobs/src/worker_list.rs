//! Handles the list of workers and its changes.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use sandshelf_model::{Millis, WorkerId};

use crate::events::WorkerChanges;
use crate::limits::{LISTED_CAPACITY_FRESH_MS, LIST_RECOVERY_MS, MAX_LIST_GAP_MS};
use crate::note::{JobNote, LossCause};
use crate::reports::WorkerListing;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

impl JobScheduler {
    /// Marks the workers whose entries can't be read. Such a worker gets no new tasks, since its entry can't be used. The leases of its
    /// runs are renewed as long as the worker answers, since an entry overwritten by another program says nothing about the worker itself.
    pub(crate) fn mark_unreadable(&mut self, unreadable: &[WorkerId]) {
        for id in unreadable {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.unreadable = true;
            }
        }
    }

    /// Handles the whole list of workers.
    pub(crate) fn handle_worker_list(&mut self, now: Millis, list: Vec<WorkerListing>) {
        let named: BTreeSet<&WorkerId> = list.iter().map(|entry| &entry.worker).collect();
        self.note_list(now);
        for (id, worker) in &mut self.workers {
            worker.listed = named.contains(id);
            worker.unreadable &= !worker.listed;
            worker.missing &= !worker.listed;
            if !worker.listed {
                self.unlisted.insert(id.clone());
            }
        }
        self.refresh_missing(now);
        self.apply_worker_entries(now, list);
        for worker in self.workers.values_mut() {
            worker.unreadable = false;
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.listed = true;
        }
        self.room_changed = true;
    }

    /// Handles the changes of the list since it was last read as a whole, or that nothing has changed. Costs as much as has changed.
    pub(crate) fn handle_worker_changes(&mut self, now: Millis, changes: WorkerChanges) {
        // The capacity in a list that has become old is used in part only; see `LISTED_CAPACITY_FRESH_MS`.
        self.room_changed |= now > self.last_list + LISTED_CAPACITY_FRESH_MS;
        self.note_list(now);
        for id in changes.removed.iter().chain(&changes.unreadable) {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.listed = false;
                self.unlisted.insert(id.clone());
            }
        }
        for entry in &changes.listed {
            if let Some(worker) = self.workers.get_mut(&entry.worker) {
                worker.listed = true;
                worker.missing = false;
                worker.unreadable = false;
            }
        }
        for id in &self.unlisted {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.unreadable = !worker.listed && changes.unreadable.contains(id);
            }
        }
        self.refresh_missing(now);
        let changed = !changes.listed.is_empty() || !changes.removed.is_empty();
        self.apply_worker_entries(now, changes.listed);
        self.room_changed |= changed;
    }

    /// Records that the list is known as of now.
    fn note_list(&mut self, now: Millis) {
        if now > self.last_list + MAX_LIST_GAP_MS {
            self.lists_since = now;
        }
        self.last_list = now;
    }

    /// Updates which of the workers without an entry count as missing.
    fn refresh_missing(&mut self, now: Millis) {
        let settled = now >= self.lists_since + LIST_RECOVERY_MS;
        let workers = &mut self.workers;
        self.unlisted.retain(|id| match workers.get_mut(id) {
            Some(worker) if !worker.listed => {
                worker.missing = settled || worker.unreadable;
                true
            }
            _ => false,
        });
    }

    /// The names of all services that configured queues, or the queues of jobs, use. Empty before a configuration is known: then every
    /// worker is used.
    fn used_services(&self) -> BTreeSet<String> {
        if self.queues.is_empty() {
            return BTreeSet::new();
        }
        let configured = self.queues.all_rules().map(|rules| &rules.service);
        let accepted = self.jobs.values().map(|job| &self.rules(&job.spec).service);
        configured.chain(accepted).cloned().collect()
    }

    /// The workers without an entry, by their addresses, but for those whose entry only can't be read.
    fn vacated_addresses(&self) -> HashMap<SocketAddr, Vec<WorkerId>> {
        let mut vacated: HashMap<SocketAddr, Vec<WorkerId>> = HashMap::new();
        for id in &self.unlisted {
            let worker = self.workers.get(id);
            if let Some(worker) = worker.filter(|worker| !worker.listed && !worker.unreadable) {
                let at = vacated.entry(worker.entry.address).or_default();
                at.push(id.clone());
            }
        }
        vacated
    }

    /// Applies entries. Entries of unknown workers that serve no queue are ignored.
    fn apply_worker_entries(&mut self, now: Millis, entries: Vec<WorkerListing>) {
        let has_unknown = entries
            .iter()
            .any(|entry| !self.workers.contains_key(&entry.worker));
        if !has_unknown {
            for entry in entries {
                self.apply_worker_entry(now, entry);
            }
            return;
        }
        let services = self.used_services();
        let mut vacated = self.vacated_addresses();
        for entry in entries {
            if self.workers.contains_key(&entry.worker) {
                self.apply_worker_entry(now, entry);
            } else if services.is_empty() || services.contains(&entry.service) {
                for replaced in vacated.remove(&entry.address).unwrap_or_default() {
                    self.lose_worker(now, &replaced, LossCause::Replaced);
                }
                self.apply_worker_entry(now, entry);
            }
        }
    }

    fn apply_worker_entry(&mut self, now: Millis, entry: WorkerListing) {
        let id = entry.worker.clone();
        let known = self.workers.contains_key(&id);
        let draining = entry.draining;
        let silence_record = self.silence_records.state_of(&id);
        let state = self
            .workers
            .entry(id.clone())
            .or_insert_with(|| WorkerState::new(entry.clone(), now, silence_record));
        state.listed = true;
        if known && state.contradicts(&entry) {
            // Another program wrote the entry. The worker gets no new tasks until its own entry is back.
            state.missing = true;
            return;
        }
        state.missing = false;
        state.evacuated = self.evacuated.contains(&entry.hall);
        let leaves_now = draining && !state.entry.draining;
        state.entry = entry;
        // The worker has restarted, and no lease renewal has shown that yet.
        let restarted =
            state.entry_incarnation_differs() && state.entry.incarnation > state.incarnation.id;
        if restarted {
            state.note_doubt(now);
            self.note_unheard_restart(now, &id);
        }
        if !known {
            return self.add_listed_worker(now, &id);
        }
        if leaves_now {
            let state = &self.workers[&id];
            let standing = state.runs.values().filter(|record| record.standing);
            let standing = standing.count();
            self.note(JobNote::WorkerDraining {
                worker: id,
                standing,
            });
        }
    }

    /// Takes up a worker that was not known before.
    fn add_listed_worker(&mut self, now: Millis, id: &WorkerId) {
        self.roster.add(id);
        self.worker_order = None;
        self.renewal_queue.insert((now, id.clone()));
        if let Some(recovery) = &mut self.recovery {
            if !recovery.listed {
                recovery.unanswered.insert(id.clone(), recovery.until);
                if let Some(state) = self.workers.get_mut(id) {
                    state.expected = true;
                }
            }
        }
    }
}
