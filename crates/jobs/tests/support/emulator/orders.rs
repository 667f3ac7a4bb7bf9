//! How an emulated worker answers orders.

use sandshelf_jobs::{
    OrderAnswer, RefusalReason, RenewalAnswer, RenewalCall, RenewalReport, RunKey, RunOutcome,
    RunReport, StartCall, TaskKey,
};
use sandshelf_model::{Millis, ResourceSize};

use rand::RngExt;

use super::halls::hall_of;
use super::{PlatformEmulator, DRAIN_NOTICE_MS, STOP_DURATION_MS, UNDISTURBED_AFTER_MS};
use crate::support::emulated_worker::EmulatedRun;
use crate::support::oracle::BrokenRule;

/// In plans with copies, this share of the runs takes this many times as long.
const SLOW_RUNS_PERCENT: u32 = 15;
const SLOW_RUN_FACTOR: Millis = 7;
/// The most ends in one list of a worker.
const MAX_LISTED_ENDS: usize = 500;

impl PlatformEmulator {
    /// Records the epoch of a call as the worker's fence; returns false if the worker has seen a
    /// newer one.
    fn accept_fence(&mut self, index: usize, epoch: u64) -> bool {
        let worker = &mut self.workers[index];
        worker.fence = worker.fence.max(epoch);
        worker.fence == epoch
    }

    pub(super) fn start(&mut self, index: usize, epoch: u64, call: &StartCall) -> OrderAnswer {
        let now = self.now;
        let clock = self.workers[index].clock(now);
        if !self.accept_fence(index, epoch) {
            return OrderAnswer::Refused(clock, RefusalReason::Fenced);
        }
        let fails = self.chance(self.plan.failed_runs);
        let step = self.step_of(&call.key.task);
        let crashes_after = self.crashers.get(&call.key.task);
        let crashes_at = crashes_after.map(|after| now + after);
        let max_lease = self.max_lease_ms();
        let worker = &mut self.workers[index];
        if call.deadline < clock {
            return OrderAnswer::Refused(clock, RefusalReason::Late);
        }
        worker.lease_until = worker.lease_until.max(call.deadline.min(clock + max_lease));
        let task = call.key.task;
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.run == call.key.run)
        {
            return OrderAnswer::Done(clock);
        }
        if worker
            .newest_runs
            .get(&task)
            .is_some_and(|newest_runs| call.key.run <= *newest_runs)
        {
            return OrderAnswer::Refused(clock, RefusalReason::Superseded);
        }
        let (room, mut work_ms, standing) = step;
        if self.plan.copies && self.random.random_ratio(SLOW_RUNS_PERCENT, 100) {
            work_ms *= SLOW_RUN_FACTOR;
        }
        let wanted = worker.used().plus(&room).expect("small sizes");
        let limit = match self.plan.guards {
            true => worker.room.current(),
            false => worker.room.enforced(now),
        };
        if !wanted.fits_in(&limit) {
            if self.plan.guards {
                return OrderAnswer::Refused(clock, RefusalReason::NoRoom);
            }
            let what = format!("{} on {}: {wanted:?} of {limit:?}", call.key, worker.id);
            self.oracle.report(now, BrokenRule::Limit, what);
        }
        let undisturbed = now > self.disturbed_at + UNDISTURBED_AFTER_MS;
        let worker = &mut self.workers[index];
        if worker
            .draining_since
            .is_some_and(|since| now > since + DRAIN_NOTICE_MS && undisturbed)
        {
            let id = worker.id.to_string();
            let since = worker.draining_since;
            let what = format!("{} on {id} since {since:?}, owner {epoch} of {}, disturbed {}, deadline {} clock {clock}", call.key, self.epoch, self.disturbed_at, call.deadline);
            self.oracle.report(now, BrokenRule::Drain, what);
        }
        worker.newest_runs.insert(task, call.key.run);
        worker.runs.insert(
            task,
            EmulatedRun {
                run: call.key.run,
                room,
                began_at: now,
                ends_at: if standing && !fails {
                    Millis::MAX
                } else {
                    now + work_ms
                },
                outcome: Some(if fails {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                }),
                stopping: false,
                crashes_at,
            },
        );
        let id = worker.id.clone();
        let since = self.evacuated.get(&hall_of(worker.place));
        if let Some(since) = since.filter(|_| undisturbed) {
            self.oracle.started_in_evacuated(now, *since, call.key);
        }
        self.second_runs.note_start(now, &id, call.key);
        let seen = self.oracle.broken.len();
        self.oracle.started(now, &id, call.key, undisturbed);
        self.explain_since(seen, &task);
        OrderAnswer::Done(clock)
    }

    fn step_of(&self, task: &TaskKey) -> (ResourceSize, Millis, bool) {
        let spec = self
            .jobs
            .iter()
            .find(|(number, spec)| *number == task.job && spec.is_some());
        let step = spec.and_then(|(_, spec)| spec.as_ref()?.steps.get(task.step as usize));
        step.map_or((ResourceSize::default(), 100, false), |step| {
            (step.room(), step.estimate_ms, step.standing)
        })
    }

    pub(super) fn stop(&mut self, index: usize, epoch: u64, key: RunKey) -> OrderAnswer {
        let now = self.now;
        let clock = self.workers[index].clock(now);
        if !self.accept_fence(index, epoch) {
            return OrderAnswer::Refused(clock, RefusalReason::Fenced);
        }
        let worker = &mut self.workers[index];
        let newest_runs = worker.newest_runs.entry(key.task).or_default();
        *newest_runs = key.run.max(*newest_runs);
        if let Some(run) = worker.runs.get_mut(&key.task) {
            if run.run == key.run && !run.stopping {
                run.stopping = true;
                run.ends_at = run.ends_at.min(now + STOP_DURATION_MS);
            }
        }
        OrderAnswer::Done(clock)
    }

    pub(super) fn renew(&mut self, index: usize, epoch: u64, call: &RenewalCall) -> RenewalAnswer {
        let now = self.now;
        let first = self.workers[index].fence < epoch;
        if !self.accept_fence(index, epoch) {
            return RenewalAnswer::Fenced;
        }
        if first {
            self.draw_cut_after_takeover(index);
        }
        let max_lease = self.max_lease_ms();
        let worker = &mut self.workers[index];
        let clock = worker.clock(now);
        if let Some(deadline) = call.deadline {
            worker.lease_until = worker.lease_until.max(deadline.min(clock + max_lease));
        }
        let mut acknowledged = Vec::new();
        for (at, end) in &worker.ended {
            // An end does not count as acknowledged if its worker's lease has expired since.
            if end.number <= call.last_seen && worker.lapsed_at <= *at {
                self.oracle.acknowledged_at(now, end.key, end.outcome);
                acknowledged.push(end.key);
            }
        }
        worker.ended.retain(|(_, end)| end.number > call.last_seen);
        let running = worker.runs.iter().map(|(task, run)| RunReport {
            key: RunKey {
                task: *task,
                run: run.run,
            },
            checkpoint: None,
            percent: match self.plan.copies {
                true => run.percent(now),
                false => 50,
            },
            gauge: None,
        });
        let ended = worker.ended.iter().take(MAX_LISTED_ENDS);
        let report = RenewalReport {
            incarnation: Some(worker.incarnation),
            carrier_late_ms: 0,
            clock,
            running: running.collect(),
            ended: ended.map(|(_, end)| end.clone()).collect(),
        };
        for key in acknowledged {
            self.check_acknowledged(key);
        }
        RenewalAnswer::Report(report)
    }
}
