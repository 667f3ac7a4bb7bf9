//! Periodic checks of two rules: standing tasks keep running, and tasks of cancelled jobs stop in time.

use sandshelf_jobs::{JobNumber, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use super::{BrokenRule, PlatformOracle};

/// How long there must have been free capacity for a task that does not run before its absence counts, where at
/// least half of all processor capacity is in use.
const MIN_FREE_CAPACITY_MS: Millis = 3_000;

/// How long after its cancellation a job is checked for tasks that still run.
const STOP_CHECK_WINDOW_MS: Millis = 60_000;

/// The free capacity of workers that are neither draining nor unresponsive.
pub struct UsableCapacity {
    /// Whether less than half of their processor capacity is in use.
    pub under_half: bool,
    /// How long there has been no disturbance, in milliseconds; 0 where the caller does not track it.
    pub calm_ms: Millis,
    /// The free capacity of each worker.
    pub free: Vec<ResourceSize>,
}

impl UsableCapacity {
    /// Whether a task of this size fits on at least two of the workers.
    pub(super) fn has_twice(&self, room: &ResourceSize) -> bool {
        let fits = self.free.iter().filter(|free| room.fits_in(free));
        fits.take(2).count() == 2
    }
}

/// How long a standing task has not run, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AwayTimes {
    /// In total.
    away: Millis,
    /// Since when there has been free capacity for it without a break; 0 while there is none.
    room: Millis,
    /// The same, counted only while less than half of all processor capacity is in use.
    ample_room: Millis,
}

impl AwayTimes {
    fn advance(&mut self, elapsed: Millis, room: bool, under_half: bool) {
        let count = |holds: bool, time: Millis| if holds { time + elapsed } else { 0 };
        self.away += elapsed;
        self.room = count(room, self.room);
        self.ample_room = count(room && under_half, self.ample_room);
    }
}

impl PlatformOracle {
    /// Reports standing tasks that have not run for more than `away_ms` although workers have free capacity for them.
    ///
    /// `elapsed` is the time since the last check in milliseconds. Where at least half of all processor capacity is
    /// in use, a task counts only after `calm_ms` without a disturbance.
    pub fn check_away_tasks(&mut self, now: Millis, elapsed: Millis, room: &UsableCapacity) {
        self.set_time(now);
        let bound = self.bounds.away_ms;
        let calm = room.calm_ms >= self.bounds.calm_ms;
        let mut late = Vec::new();
        for (task, task_room) in self.standing.values().flatten() {
            if self.running.get(task).is_some_and(|runs| !runs.is_empty()) {
                self.away.remove(task);
                continue;
            }
            let times = self.away.entry(*task).or_default();
            times.advance(elapsed, room.has_twice(task_room), room.under_half);
            let in_calm = calm && times.room >= MIN_FREE_CAPACITY_MS;
            let away = times.ample_room.max(if in_calm { times.away } else { 0 });
            self.longest_away = self.longest_away.max(away);
            if away > bound && self.reported_away.insert(*task) {
                late.push(*task);
            }
        }
        for task in late {
            let what = format!("{task} is not running: {:?}", self.history.get(&task));
            self.report(now, BrokenRule::Away, what);
        }
    }

    /// Reports cancelled jobs with a task that runs for too long after the cancellation.
    ///
    /// There has been no disturbance since `calm_since`; the time before that does not count.
    pub fn check_late_stops(&mut self, now: Millis, calm_since: Millis) {
        let bound = self.bounds.cancel_ms + self.bounds.stop_ms;
        let mut late = Vec::new();
        for (job, at) in &self.cancelled {
            if self.reported_stops.contains(job) || now > at + STOP_CHECK_WINDOW_MS {
                continue;
            }
            let tasks = self.running.range(first_task(*job)..);
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
            self.reported_stops.insert(job);
            let what = format!("{task} is still running: {:?}", self.history.get(&task));
            self.report(now, BrokenRule::Stop, what);
        }
    }
}

/// The lowest key that a task of this job can have.
pub(super) fn first_task(job: JobNumber) -> TaskKey {
    TaskKey {
        job,
        time: 0,
        step: 0,
        index: 0,
    }
}
