//! Relieves services that batch work on the same worker slows down.

use sandshelf_model::{AttemptId, Millis, WorkerId};
use sandshelf_place::{PressureAction, PressureInput, SlowdownSample, TaskReservation};

use crate::owner::ShardOwner;

/// The speed of a throttled attempt, in percent of its full speed.
const THROTTLED_PERCENT: u32 = 40;
/// The full speed of an attempt, in percent.
const FULL_PERCENT: u32 = 100;

impl ShardOwner {
    /// Evicts a running attempt that can be resumed from a checkpoint or run again; others are left alone.
    pub(crate) fn evict_requested(&mut self, attempt: &AttemptId) {
        let Some(worker) = self.state.current_worker(attempt).cloned() else {
            return;
        };
        let spec = self.state.spec(&attempt.task.job);
        let allowed = spec.is_some_and(|spec| spec.checkpoint || spec.repeatable);
        if let Some(session) = self.sessions.get_mut(&worker) {
            if allowed && session.confirmed.contains(attempt) {
                session.push_checkpoint(attempt);
            }
        }
    }

    /// Learns from a delayed slowdown measurement, and throttles or evicts an attempt
    /// where the service is slowed too much.
    pub(crate) fn on_slowdown(&mut self, now: Millis, worker: &WorkerId, sample: &SlowdownSample) {
        self.pool.estimate.learn(sample, now);
        self.pool.set_band(worker, sample.band);
        if !self.lease.is_valid(now) {
            return;
        }
        let reservations: Vec<TaskReservation> = self.pool.reservations(worker).to_vec();
        let input = PressureInput {
            worker,
            service: &sample.service,
            slowdown: sample.slowdown,
            band: sample.band,
            reservations: &reservations,
        };
        let action = self.gauge.judge(&input, &self.pool.estimate, now);
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        match action {
            Some(PressureAction::Throttle { attempt }) => {
                self.counts.throttles += 1;
                session.push_throttle(&attempt, THROTTLED_PERCENT);
            }
            Some(PressureAction::Unthrottle { attempt }) => {
                session.push_throttle(&attempt, FULL_PERCENT);
            }
            Some(PressureAction::Evict { attempt }) => session.push_checkpoint(&attempt),
            None => {}
        }
    }
}
