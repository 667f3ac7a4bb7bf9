//! Holds of capacity that stops have freed, until the waiting tasks for which they were ordered no longer need it.
//!
//! Short tasks use a hold one after another. It ends if the stop times out, if nobody has used it for a while, or if several holds
//! have been unused for long: the platform counts a waiting standing task as lost while capacity for it exists twice over.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use super::plan::RoomScope;
use crate::ids::{RunKey, TaskKey};
use crate::note::HoldOutcome;
use crate::run::RunRecord;

/// How long more than one hold may be unused at a time. The platform allows 3 s, of which a start takes part.
const UNUSED_SURPLUS_MS: Millis = 1_000;
/// How much longer than a stop takes at most a hold waits for the end of the stopped runs: an order and a renewal have to be answered.
const STOP_MARGIN_MS: Millis = 600;

/// Capacity of a worker that is held.
#[derive(Clone, Debug)]
pub(crate) struct CapacityHold {
    pub(crate) scope: RoomScope,
    pub(crate) room: ResourceSize,
    /// The task for which the stops were ordered.
    pub(crate) waiter: TaskKey,
    /// When the stops were ordered.
    pub(crate) since: Millis,
    /// The stopped runs on the worker whose ends are awaited.
    pub(crate) awaited: Vec<RunKey>,
    /// The run that uses the room.
    pub(crate) user: Option<RunKey>,
    /// How many runs have used the room.
    pub(crate) uses: u32,
    /// Since when the room has been free and unused.
    pub(crate) unused_since: Option<Millis>,
}

/// A hold that has ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedHold {
    pub(crate) worker: WorkerId,
    pub(crate) hold: CapacityHold,
    pub(crate) outcome: HoldOutcome,
}

/// The durations on which the end of a hold depends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HoldLimits {
    /// How long a worker takes at most to stop a run, in milliseconds.
    pub(crate) stop_timeout_ms: Millis,
    /// How long a hold may be unused, in milliseconds.
    pub(crate) unused_ms: Millis,
}

/// The holds of all workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldTable {
    by_worker: BTreeMap<WorkerId, Vec<CapacityHold>>,
    /// Since when more than one hold has been unused.
    surplus_since: Option<Millis>,
}

impl HoldLimits {
    /// How long the ends of stopped runs are awaited, in milliseconds.
    pub(crate) fn pending_ms(&self) -> Millis {
        self.stop_timeout_ms + STOP_MARGIN_MS
    }
}

impl CapacityHold {
    /// The part of the room that is not used.
    fn unused_room(&self, runs: &BTreeMap<RunKey, RunRecord>) -> ResourceSize {
        let user = self.user.and_then(|user| runs.get(&user));
        match user {
            Some(user) => self.room.saturating_minus(&user.room),
            None => self.room,
        }
    }

    /// Looks up what became of the stopped runs and of the room's user.
    fn refresh(
        &mut self,
        now: Millis,
        runs: &BTreeMap<RunKey, RunRecord>,
        scope_of: &impl Fn(&RunKey, &RunRecord) -> RoomScope,
        users: &mut BTreeSet<RunKey>,
    ) {
        self.awaited.retain(|run| runs.contains_key(run));
        self.user = self.user.filter(|user| runs.contains_key(user));
        if !self.awaited.is_empty() {
            return;
        }
        if self.user.is_none() {
            self.user = self.find_user(runs, scope_of, users);
            if let Some(user) = self.user {
                users.insert(user);
                self.uses += 1;
            }
        }
        self.unused_since = match self.user {
            Some(_) => None,
            None => Some(self.unused_since.unwrap_or(now)),
        };
    }

    /// A run that was started after the stops were ordered, may use the room and uses no other hold.
    fn find_user(
        &self,
        runs: &BTreeMap<RunKey, RunRecord>,
        scope_of: &impl Fn(&RunKey, &RunRecord) -> RoomScope,
        users: &BTreeSet<RunKey>,
    ) -> Option<RunKey> {
        let mut started = runs
            .iter()
            .filter(|(_, record)| record.ordered_at >= self.since);
        let user = started.find(|(key, record)| {
            !users.contains(key) && self.scope.admits(&scope_of(key, record))
        });
        user.map(|(key, _)| *key)
    }

    fn outcome(&self, now: Millis, limits: &HoldLimits) -> Option<HoldOutcome> {
        let timed_out = now >= self.since + limits.pending_ms();
        if !self.awaited.is_empty() {
            return timed_out.then_some(HoldOutcome::StopTimedOut);
        }
        let unused_since = self.unused_since?;
        (now >= unused_since + limits.unused_ms).then_some(self.unused_outcome())
    }

    fn unused_outcome(&self) -> HoldOutcome {
        match self.uses {
            0 => HoldOutcome::Unused,
            _ => HoldOutcome::Returned,
        }
    }
}

impl HoldTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    pub(crate) fn add(&mut self, worker: WorkerId, hold: CapacityHold) {
        self.by_worker.entry(worker).or_default().push(hold);
    }

    /// The holds of a worker.
    pub(crate) fn of(&self, worker: &WorkerId) -> &[CapacityHold] {
        self.by_worker.get(worker).map_or(&[], Vec::as_slice)
    }

    /// All holds.
    pub(crate) fn all(&self) -> impl Iterator<Item = &CapacityHold> {
        self.by_worker.values().flatten()
    }

    /// The unused rooms that a worker holds, each with the tasks that may use it.
    pub(crate) fn unused_rooms<'a>(
        &'a self,
        worker: &WorkerId,
        runs: &'a BTreeMap<RunKey, RunRecord>,
    ) -> impl Iterator<Item = (RoomScope, ResourceSize)> + 'a {
        let holds = self.of(worker).iter();
        holds.map(|hold| (hold.scope, hold.unused_room(runs)))
    }

    /// Looks up what became of the holds, and removes and returns those that have ended. `runs` gives the runs of a worker, none if the
    /// worker is gone; `scope_of` tells which rooms a run may use.
    pub(crate) fn refresh<'a>(
        &mut self,
        now: Millis,
        limits: &HoldLimits,
        runs: impl Fn(&WorkerId) -> Option<&'a BTreeMap<RunKey, RunRecord>>,
        scope_of: impl Fn(&RunKey, &RunRecord) -> RoomScope,
    ) -> Vec<EndedHold> {
        let mut ended = Vec::new();
        for (worker, holds) in &mut self.by_worker {
            let known = runs(worker);
            let mut users: BTreeSet<RunKey> = holds.iter().filter_map(|hold| hold.user).collect();
            holds.retain_mut(|hold| {
                let outcome = match known {
                    None => Some(HoldOutcome::WorkerGone),
                    Some(runs) => {
                        hold.refresh(now, runs, &scope_of, &mut users);
                        hold.outcome(now, limits)
                    }
                };
                let Some(outcome) = outcome else {
                    return true;
                };
                ended.push(EndedHold {
                    worker: worker.clone(),
                    hold: hold.clone(),
                    outcome,
                });
                false
            });
        }
        self.by_worker.retain(|_, holds| !holds.is_empty());
        ended.extend(self.end_surplus(now));
        ended
    }

    /// Ends the unused holds but the newest once more than one has been unused for long.
    fn end_surplus(&mut self, now: Millis) -> Vec<EndedHold> {
        let unused = self.all().filter_map(|hold| hold.unused_since);
        let unused: Vec<Millis> = unused.collect();
        let newest = unused.iter().max().copied();
        if unused.len() < 2 {
            self.surplus_since = None;
            return Vec::new();
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now < since + UNUSED_SURPLUS_MS {
            return Vec::new();
        }
        self.surplus_since = None;
        let mut ended = Vec::new();
        let mut kept = false;
        for (worker, holds) in &mut self.by_worker {
            holds.retain(|hold| {
                let spared = !kept && hold.unused_since == newest;
                if hold.unused_since.is_none() || spared {
                    kept |= spared;
                    return true;
                }
                ended.push(EndedHold {
                    worker: worker.clone(),
                    hold: hold.clone(),
                    outcome: hold.unused_outcome(),
                });
                false
            });
        }
        self.by_worker.retain(|_, holds| !holds.is_empty());
        ended
    }
}
