//! Looks from time to time at what is, or isn't, at work.

use sandshelf_jobs::{JobNumber, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use super::{BrokenRule, PlatformOracle};

/// For how long there has to be room for a task that is away where half of the room or more is in use.
const ROOM_MS: Millis = 3_000;

/// For how long after its cancellation a job is looked at.
const STOPS_FOLLOWED_MS: Millis = 60_000;

/// What is free on workers that stay and can be reached.
pub struct UsableCapacity {
    /// Whether less than half of all is in use.
    pub under_half: bool,
    /// For how long nothing has been disturbed, in milliseconds; 0 where that isn't followed.
    pub calm_ms: Millis,
    /// What is free on each.
    pub free: Vec<ResourceSize>,
}

impl UsableCapacity {
    /// Whether a task fits on two workers.
    pub(super) fn has_twice(&self, room: &ResourceSize) -> bool {
        let fits = self.free.iter().filter(|free| room.fits_in(free));
        fits.take(2).count() == 2
    }
}

/// For how long a standing task has been away, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AwayTimes {
    /// In all.
    away: Millis,
    /// While there was room for it.
    room: Millis,
    /// While there was room for it, and less than half of all was in use.
    ample_room: Millis,
}

impl AwayTimes {
    fn pass(&mut self, passed: Millis, room: bool, under_half: bool) {
        let count = |holds: bool, time: Millis| if holds { time + passed } else { 0 };
        self.away += passed;
        self.room = count(room, self.room);
        self.ample_room = count(room && under_half, self.ample_room);
    }
}

impl PlatformOracle {
    /// Looks, some milliseconds after the last look, which standing tasks are away from work though there is room for them.
    ///
    /// Where half of the room or more is in use that counts only once nothing has been disturbed for some time.
    pub fn check_away_tasks(&mut self, now: Millis, passed: Millis, room: &UsableCapacity) {
        let bound = self.bounds.away_ms;
        let calm = room.calm_ms >= self.bounds.calm_ms;
        let mut late = Vec::new();
        for (task, task_room) in self.standing.values().flatten() {
            if self.at_work.get(task).is_some_and(|runs| !runs.is_empty()) {
                self.away.remove(task);
                continue;
            }
            let times = self.away.entry(*task).or_default();
            times.pass(passed, room.has_twice(task_room), room.under_half);
            let in_calm = calm && times.room >= ROOM_MS;
            let away = times.ample_room.max(if in_calm { times.away } else { 0 });
            self.longest_away = self.longest_away.max(away);
            if away > bound && self.told_away.insert(*task) {
                late.push(*task);
            }
        }
        for task in late {
            let what = format!("{task} is away: {:?}", self.history.get(&task));
            self.report(now, BrokenRule::Away, what);
        }
    }

    /// Looks which tasks of cancelled jobs are at work for too long; nothing has been disturbed since `calm_since`.
    pub fn check_late_stops(&mut self, now: Millis, calm_since: Millis) {
        let bound = self.bounds.cancel_ms + self.bounds.stop_ms;
        let mut late = Vec::new();
        for (job, at) in &self.cancelled {
            if self.told_stops.contains(job) || now > at + STOPS_FOLLOWED_MS {
                continue;
            }
            let tasks = self.at_work.range(first_task(*job)..);
            let tasks = tasks.take_while(|(task, _)| task.job == *job);
            let Some((task, _)) = tasks.into_iter().find(|(_, runs)| !runs.is_empty()) else {
                continue;
            };
            let lasts = now.saturating_sub(calm_since.max(*at));
            self.longest_stop = self.longest_stop.max(lasts);
            if lasts > bound {
                late.push((*job, *task));
            }
        }
        for (job, task) in late {
            self.told_stops.insert(job);
            let what = format!("{task} is still at work: {:?}", self.history.get(&task));
            self.report(now, BrokenRule::Stop, what);
        }
    }
}

/// The key before which no task of a job comes.
fn first_task(job: JobNumber) -> TaskKey {
    TaskKey {
        job,
        time: 0,
        step: 0,
        index: 0,
    }
}
