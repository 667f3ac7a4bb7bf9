//! Hands off tasks for which this shard has no capacity to other shards.

use sandshelf_config::UrgencyLevel;
use sandshelf_model::{Millis, ResourceSize, ShardId, TaskId};

use crate::events::{ShardRoom, WaitReason};
use crate::journal::{JournalRecord, TaskHandoff};
use crate::owner::ShardOwner;
use crate::placing::MAX_BUFFERED_RECORDS;

/// How long a task waits for capacity in this shard before it may be handed off, in milliseconds;
/// doubles with each of the first 6 hand-offs.
const HANDOFF_WAIT_MS: Millis = 3_000;
/// How long an urgent task waits for capacity before it may be handed off, in milliseconds;
/// doubles with each of the first 6 hand-offs.
const URGENT_HANDOFF_WAIT_MS: Millis = 200;
/// Interval between scans for waiting tasks to hand off, in milliseconds.
const HANDOFF_SCAN_INTERVAL_MS: Millis = 100;
/// The maximum number of tasks handed off per scan.
const MAX_HANDED_OFF_PER_SCAN: usize = 64;

impl ShardOwner {
    /// Hands off tasks that have waited long enough for capacity in this shard to shards with free capacity.
    pub(crate) fn hand_off_waiting(&mut self, now: Millis) {
        if self.releasing || !self.lease.is_valid(now) || self.rooms.is_empty() {
            return;
        }
        if now < self.next_handoff || self.buffer.len() > MAX_BUFFERED_RECORDS {
            return;
        }
        self.next_handoff = now + HANDOFF_SCAN_INTERVAL_MS;
        let mut chosen = Vec::new();
        for (task, reason) in &self.wait_reasons {
            if *reason != WaitReason::Room || self.placing.contains(task) {
                continue;
            }
            if chosen.len() >= MAX_HANDED_OFF_PER_SCAN {
                break;
            }
            if self.has_waited_enough(now, task) {
                chosen.push(task.clone());
            }
        }
        chosen.sort();
        for task in chosen {
            self.hand_off(&task);
        }
    }

    fn has_waited_enough(&self, now: Millis, task: &TaskId) -> bool {
        let Some(since) = self.waiting_since.get(task) else {
            return false;
        };
        let urgent = self
            .state
            .spec(&task.job)
            .is_some_and(|spec| self.pending_key(spec).urgent);
        let wait_ms = if urgent {
            URGENT_HANDOFF_WAIT_MS
        } else {
            HANDOFF_WAIT_MS
        };
        let hops = self
            .state
            .task_state(task)
            .map_or(0, |task_state| task_state.hops)
            .min(6);
        now >= since + (wait_ms << hops)
    }

    fn hand_off(&mut self, task: &TaskId) {
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return;
        };
        let urgent = spec.urgency == UrgencyLevel::Urgent;
        let Some(to) = self.shard_for(&spec.size, urgent) else {
            return;
        };
        let Some(mut state) = self.state.task_state(task).cloned() else {
            return;
        };
        state.hops += 1;
        let handoff = TaskHandoff {
            job: (*spec).clone(),
            index: task.index,
            state,
            revision: self.state.revision,
        };
        self.placing.insert(task.clone());
        self.buffer.push(JournalRecord::HandedOff {
            to,
            handoff: Box::new(handoff),
        });
    }

    /// Chooses the shard to hand a task to: one with enough free capacity.
    ///
    /// Where there is none and this shard has no workers or the task is urgent, the task goes to a shard with a worker
    /// large enough for it, chosen in rotation, and waits in that shard's queue.
    fn shard_for(&mut self, size: &ResourceSize, urgent: bool) -> Option<ShardId> {
        let with_room = self.shard_with_room(size);
        let no_workers = self.pool.is_empty();
        if with_room.is_some() || !(urgent || no_workers) {
            return with_room;
        }
        self.handoff_rotation += 1;
        let own = &self.shard;
        let rooms = self.rooms.iter().filter(|room| &room.shard != own);
        let able_shards: Vec<&ShardRoom> =
            rooms.filter(|room| size.fits_in(&room.capacity)).collect();
        let picked = able_shards.get(self.handoff_rotation % able_shards.len().max(1))?;
        Some(picked.shard.clone())
    }

    /// Chooses the shard with the most free processors that has room for `size`.
    ///
    /// Deducts the processors from that shard's published capacity, so that not all tasks go to the same shard.
    fn shard_with_room(&mut self, size: &ResourceSize) -> Option<ShardId> {
        let own = &self.shard;
        let room = self
            .rooms
            .iter_mut()
            .filter(|room| &room.shard != own && size.fits_in(&room.largest))
            .filter(|room| room.cpu_millis >= size.cpu_millis)
            .max_by_key(|room| room.cpu_millis)?;
        room.cpu_millis -= size.cpu_millis;
        Some(room.shard.clone())
    }
}
