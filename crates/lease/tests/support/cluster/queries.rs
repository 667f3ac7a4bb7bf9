//! Queries for tests: notes, the workers that run tasks, and the durable state.

use sandshelf_fakes::FakeWorker;
use sandshelf_lease::{decode_snapshot, ShardNote, ShardState, TaskStage};
use sandshelf_model::{ShardId, TaskId, WorkerId};
use sandshelf_platform::{journal_range, read_group, read_shard_row, TableKey};

use super::SimulatedCluster;

impl SimulatedCluster {
    /// The number of notes that satisfy `wanted`.
    pub fn count_notes(&self, wanted: impl Fn(&ShardNote) -> bool) -> usize {
        let notes = self.notes.iter();
        notes.filter(|(_, _, note)| wanted(note)).count()
    }

    /// The worker on which a task runs; none where it runs nowhere.
    pub fn worker_running(&self, task: &TaskId) -> Option<WorkerId> {
        let runs = |worker: &FakeWorker| worker.running().any(|run| run.attempt.task == *task);
        let found = self.workers.iter().find(|(_, worker)| runs(worker));
        found.map(|(name, _)| name.clone())
    }

    /// Reads a shard's durable state from the store, as a new owner would.
    pub fn durable_state(&self, shard: &ShardId) -> ShardState {
        let row = self.store.table.row(&TableKey::Shard(shard).text());
        let stored = read_shard_row(row).expect("rows are written by owners");
        let row = stored.row;
        let rows =
            self.store
                .table
                .range(&journal_range(shard, row.snapshot_sequence, row.sequence));
        let groups: Vec<_> = rows
            .iter()
            .map(|row| read_group(row).expect("groups are written by owners"))
            .collect();
        let snapshot = row.snapshot.as_ref();
        let snapshot = snapshot.map(|digest| self.store.objects[digest].to_vec());
        decode_snapshot(snapshot.as_deref(), &groups).expect("snapshots are written by owners")
    }

    /// The stages of a task in all shards that know it, except those that handed it off.
    pub fn stages(&self, task: &TaskId) -> Vec<TaskStage> {
        let shard_states = self.shards.iter().map(|shard| self.durable_state(shard));
        let task_states =
            shard_states.filter_map(|shard_state| shard_state.task_state(task).cloned());
        task_states
            .map(|task_state| task_state.stage)
            .filter(|stage| !matches!(stage, TaskStage::HandedOff(_)))
            .collect()
    }
}
