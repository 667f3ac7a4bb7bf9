//! Drives the shard owners of this host: passes them events, performs their actions and releases shards for balance.

use rand::RngExt;
use sandshelf_lease::{LeaseTimes, ShardAction, ShardEvent, ShardNote, ShardOwner};
use sandshelf_model::{AttemptId, Millis, ShardId};
use sandshelf_platform::ShardMap;

use super::{ControlEvent, ControlState, REBALANCE_AFTER_MS};
use crate::logging::event;
use crate::meters;
use crate::shards::{perform_action, read_rows};

impl ControlState {
    pub(super) fn tick_owners(&mut self, now: Millis) {
        let shards: Vec<ShardId> = self.owners.keys().cloned().collect();
        for shard in shards {
            let row = self.owners[&shard].row();
            let holder = row.and_then(|stored| stored.row.owner.as_ref());
            let rank = self.members.rank(now, &shard, holder);
            self.feed(now, &shard, ShardEvent::RankUpdated(rank));
        }
    }

    /// Reads all shard rows that owners have requested since the last tick, in one call.
    pub(super) fn read_wanted_rows(&mut self) {
        let shards = std::mem::take(&mut self.wanted_rows);
        if shards.is_empty() {
            return;
        }
        let platform = self.platform.clone();
        self.spawn(async move {
            let rows = read_rows(&platform, &shards).await;
            Some(ControlEvent::ShardRowsRead(rows))
        });
    }

    /// Passes an event to a shard's owner and performs the actions that it returns.
    pub(super) fn feed(&mut self, now: Millis, shard: &ShardId, event: ShardEvent) {
        let Some(owner) = self.owners.get_mut(shard) else {
            return;
        };
        let actions = owner.handle(now, event);
        for action in actions {
            match action {
                ShardAction::Note(note) => self.log_note(shard, &note),
                ShardAction::ReadRow => {
                    self.wanted_rows.insert(shard.clone());
                }
                action => self.spawn_action(shard, action),
            }
        }
    }

    fn spawn_action(&self, shard: &ShardId, action: ShardAction) {
        let platform = self.platform.clone();
        let workers = self.worker_addresses.clone();
        let shard = shard.clone();
        self.spawn(async move {
            let event = perform_action(&platform, &shard, action, &workers).await?;
            Some(ControlEvent::Shard(shard, event))
        });
    }

    fn log_note(&self, shard: &ShardId, note: &ShardNote) {
        match note {
            ShardNote::Claimed(epoch) => {
                event("shard_claimed", &[("shard", shard), ("epoch", epoch)])
            }
            ShardNote::Recovered { placed } => {
                event("shard_recovered", &[("shard", shard), ("placed", placed)])
            }
            ShardNote::Lost => event("shard_lost", &[("shard", shard)]),
            ShardNote::Released => event("shard_released", &[("shard", shard)]),
            ShardNote::Placed(attempt, worker, waited) => {
                self.record_start_delay(shard, attempt, *waited);
                event(
                    "task_placed",
                    &[
                        ("attempt", attempt),
                        ("worker", worker),
                        ("waited_ms", waited),
                    ],
                );
            }
            ShardNote::Finished(attempt) => event("task_finished", &[("attempt", attempt)]),
            ShardNote::Evicted(attempt) => event("task_evicted", &[("attempt", attempt)]),
            ShardNote::GaveUp(task, reason) => {
                event("task_given_up", &[("task", task), ("reason", reason)])
            }
            ShardNote::Quarantined(worker) => event("worker_quarantined", &[("worker", worker)]),
            ShardNote::InvariantBroken(problem) => event(
                "invariant_broken",
                &[("shard", shard), ("problem", problem)],
            ),
        }
    }

    fn record_start_delay(&self, shard: &ShardId, attempt: &AttemptId, waited: Millis) {
        let owner = self.owners.get(shard);
        if let Some(spec) = owner.and_then(|owner| owner.state().spec(&attempt.task.job)) {
            meters::note_start(&spec.team, waited as f64 / 1_000.0);
        }
    }

    /// Releases one shard where this host owns more than its share and another host ranks before this one for it.
    ///
    /// At most one shard is released per [`REBALANCE_AFTER_MS`], and only while the number of candidate hosts has not
    /// changed for that long.
    pub(super) fn rebalance_shards(&mut self, now: Millis) {
        let hosts = self.members.candidates(now).len();
        if hosts != self.candidate_count {
            self.candidate_count = hosts;
            self.stable_since = now;
        }
        if hosts < 2
            || now < self.stable_since + REBALANCE_AFTER_MS
            || self.stopping_since.is_some()
        {
            return;
        }
        let owned = self.owners.values().filter(|owner| owner.is_owner(now));
        if owned.count() <= self.owners.len().div_ceil(hosts) {
            return;
        }
        let misplaced = self.owners.values().find(|owner| {
            let rank = self.members.rank(now, owner.shard(), None);
            owner.is_owner(now) && rank.is_some_and(|rank| rank > 0)
        });
        if let Some(shard) = misplaced.map(|owner| owner.shard().clone()) {
            self.stable_since = now;
            self.feed(now, &shard, ShardEvent::Release);
        }
    }

    fn lease_times(&self) -> LeaseTimes {
        let limits = &self.settings.limits;
        LeaseTimes::derive(
            limits.shard_lease_ms,
            limits.task_lease_ms,
            limits.renewal_grace_ms,
        )
    }

    /// Creates an owner for each shard of the map that has none yet.
    pub(super) fn create_owners(&mut self, map: &ShardMap) {
        let times = self.lease_times();
        for place in &map.shards {
            let seed = rand::rng().random();
            let host = self.entry.host.clone();
            self.owners
                .entry(place.shard.clone())
                .or_insert_with(|| ShardOwner::new(place.shard.clone(), host, times, seed));
        }
    }
}
