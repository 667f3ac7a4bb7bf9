//! Holds of capacity that stops have freed, until the waiting tasks for which they were ordered no longer need it.
//!
//! Short tasks use a hold one after another. It ends if the stop times out, if nobody has used it for a while, or if several holds
//! have been unused for long: the platform counts a waiting standing task as lost while capacity for it exists twice over.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use super::inputs::{RoomScope, TaskScope};
use crate::ids::{RunKey, TaskKey};
use crate::note::HoldOutcome;
use crate::run::RunRecord;

/// How long more than one hold may be unused at a time. The platform allows 3 s, of which a start takes part.
const UNUSED_SURPLUS_MS: Millis = 500;
/// How many rooms may be free at a time, between two short tasks or because none waits. With four on average, there are moments in any
/// 3 s at which fewer than two are free.
const MAX_FREE_ROOMS: usize = 4;
/// Of this many workers that lend rooms, one has room for a standing task at a time, between two short tasks.
const LENDERS_PER_FREE_ROOM: usize = 10;
/// How much longer than a stop takes at most a hold waits for the end of the stopped runs: an order and a renewal have to be answered.
const STOP_MARGIN_MS: Millis = 600;

/// On how many workers an owner that keeps up lends capacity of standing runs at a time. Between two short tasks, a room is free for up
/// to 0.1 s. With this many workers there are moments in any 3 s at which no two of them have room for a standing task; with more, the
/// platform would count the missing standing tasks as lost.
const MAX_LENDERS: u64 = 24;

/// Capacity of a worker that is held.
#[derive(Clone, Debug)]
pub(crate) struct CapacityHold {
    pub(crate) scope: RoomScope,
    pub(crate) room: ResourceSize,
    /// Whether standing runs were stopped for it.
    pub(crate) lent: bool,
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
    /// Since when only a part of the room has been used.
    pub(crate) part_unused_since: Option<Millis>,
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
        scope_of: &impl Fn(&RunKey) -> Option<TaskScope>,
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

    /// Gives up the part of the room that has not been used for `unused_ms`. Otherwise a small task would keep all of it held.
    fn release_unused_part(
        &mut self,
        now: Millis,
        unused_ms: Millis,
        runs: &BTreeMap<RunKey, RunRecord>,
        scope_of: &impl Fn(&RunKey) -> Option<TaskScope>,
        users: &BTreeSet<RunKey>,
    ) {
        let unused = match self.user {
            Some(_) => self.room_beside_users(runs, scope_of, users),
            None => ResourceSize::default(),
        };
        if unused == ResourceSize::default() {
            self.part_unused_since = None;
            return;
        }
        let since = *self.part_unused_since.get_or_insert(now);
        if now >= since + unused_ms {
            self.room = self.room.saturating_minus(&unused);
            self.part_unused_since = None;
        }
    }

    /// The part of the room that neither its user nor other runs use that may use it and use no other hold.
    fn room_beside_users(
        &self,
        runs: &BTreeMap<RunKey, RunRecord>,
        scope_of: &impl Fn(&RunKey) -> Option<TaskScope>,
        users: &BTreeSet<RunKey>,
    ) -> ResourceSize {
        let unused = self.unused_room(runs);
        if unused == ResourceSize::default() {
            return unused;
        }
        let admitted = |key| scope_of(key).is_some_and(|scope| self.scope.admits(&scope));
        let others = runs
            .iter()
            .filter(|(_, record)| record.ordered_at >= self.since);
        let others = others.filter(|(key, _)| !users.contains(key) && admitted(key));
        others.fold(unused, |unused, (_, record)| {
            unused.saturating_minus(&record.room)
        })
    }

    /// A run that was started after the stops were ordered, may use the room and uses no other hold.
    fn find_user(
        &self,
        runs: &BTreeMap<RunKey, RunRecord>,
        scope_of: &impl Fn(&RunKey) -> Option<TaskScope>,
        users: &BTreeSet<RunKey>,
    ) -> Option<RunKey> {
        let mut started = runs
            .iter()
            .filter(|(_, record)| record.ordered_at >= self.since);
        let admitted = |key| scope_of(key).is_some_and(|scope| self.scope.admits(&scope));
        let user = started.find(|(key, _)| !users.contains(key) && admitted(key));
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

    /// Whether a worker lends the capacity of standing runs.
    pub(crate) fn lends(&self, worker: &WorkerId) -> bool {
        self.of(worker).iter().any(|hold| hold.lent)
    }

    /// How many further workers may lend capacity of standing runs, for an owner that uses it again more slowly by this factor, in
    /// percent.
    pub(crate) fn spare_lenders(&self, stretch: u64) -> usize {
        let most = MAX_LENDERS * 100 / stretch.max(100);
        let lenders = self.by_worker.values();
        let lenders = lenders.filter(|holds| holds.iter().any(|hold| hold.lent));
        (most as usize).saturating_sub(lenders.count())
    }

    /// Looks up what became of the holds, and removes and returns those that have ended. `runs` gives the runs of a worker, none if the
    /// worker is gone; `scope_of` tells which rooms a run may use, if its job is known.
    pub(crate) fn refresh<'a>(
        &mut self,
        now: Millis,
        limits: &HoldLimits,
        runs: impl Fn(&WorkerId) -> Option<&'a BTreeMap<RunKey, RunRecord>>,
        scope_of: impl Fn(&RunKey) -> Option<TaskScope>,
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
                        let unused_ms = limits.unused_ms;
                        hold.release_unused_part(now, unused_ms, runs, &scope_of, &users);
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

    /// Ends unused holds: those beyond the most that may be unused, and all but the newest once more than one has been unused for long.
    fn end_surplus(&mut self, now: Millis) -> Vec<EndedHold> {
        let unused = self.all().filter_map(|hold| hold.unused_since);
        let mut unused: Vec<Millis> = unused.collect();
        if unused.len() < 2 {
            self.surplus_since = None;
            return Vec::new();
        }
        let since = *self.surplus_since.get_or_insert(now);
        let most = match now >= since + UNUSED_SURPLUS_MS {
            true => 1,
            false => self.most_unused(),
        };
        if unused.len() <= most {
            return Vec::new();
        }
        if most == 1 {
            self.surplus_since = None;
        }
        unused.sort_unstable();
        let ended = unused.len() - most;
        self.end_unused(unused[ended - 1], ended)
    }

    /// How many rooms may be unused at a time. Each lender counts in part, since its rooms are free between two short tasks.
    fn most_unused(&self) -> usize {
        let between_tasks = self.by_worker.len() / LENDERS_PER_FREE_ROOM;
        MAX_FREE_ROOMS.saturating_sub(between_tasks).max(1)
    }

    /// Ends this many holds that have been unused since `newest` or longer.
    fn end_unused(&mut self, newest: Millis, count: usize) -> Vec<EndedHold> {
        let mut ended = Vec::new();
        for (worker, holds) in &mut self.by_worker {
            holds.retain(|hold| {
                let old = hold.unused_since.is_some_and(|since| since <= newest);
                if !old || ended.len() == count {
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
