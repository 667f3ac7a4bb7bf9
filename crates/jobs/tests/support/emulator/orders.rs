//! What an emulated worker answers to an order.

use sandshelf_jobs::{
    OrderAnswer, RefusalReason, RenewalAnswer, RenewalCall, RenewalReport, RunKey, RunOutcome,
    RunReport, StartCall, TaskKey,
};
use sandshelf_model::{Millis, ResourceSize};

use super::halls::hall_of;
use super::{PlatformEmulator, CONTACT_MS, DRAIN_MS, STOP_MS};
use crate::support::emulated_worker::EmulatedRun;
use crate::support::oracle::BrokenRule;

impl PlatformEmulator {
    /// Takes in the fence of a call; false where a newer one was seen.
    fn pass_fence(&mut self, index: usize, epoch: u64) -> bool {
        let worker = &mut self.workers[index];
        worker.fence = worker.fence.max(epoch);
        worker.fence == epoch
    }

    pub(super) fn start(&mut self, index: usize, epoch: u64, call: &StartCall) -> OrderAnswer {
        let now = self.now;
        let clock = self.workers[index].clock(now);
        if !self.pass_fence(index, epoch) {
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
            .newest
            .get(&task)
            .is_some_and(|newest| call.key.run <= *newest)
        {
            return OrderAnswer::Refused(clock, RefusalReason::Superseded);
        }
        let (room, work_ms, standing) = step;
        let wanted = worker.used().plus(&room).expect("small sizes");
        let limit = match self.plan.guards {
            true => worker.room.now(),
            false => worker.room.counted(now),
        };
        if !wanted.fits_in(&limit) {
            if self.plan.guards {
                return OrderAnswer::Refused(clock, RefusalReason::NoRoom);
            }
            let what = format!("{} on {}: {wanted:?} of {limit:?}", call.key, worker.id);
            self.oracle.report(now, BrokenRule::Limit, what);
        }
        let in_touch = now > self.disturbed_at + CONTACT_MS;
        let worker = &mut self.workers[index];
        if worker
            .draining_since
            .is_some_and(|since| now > since + DRAIN_MS && in_touch)
        {
            let id = worker.id.to_string();
            let since = worker.draining_since;
            let what = format!("{} on {id} since {since:?}, owner {epoch} of {}, disturbed {}, deadline {} clock {clock}", call.key, self.epoch, self.disturbed_at, call.deadline);
            self.oracle.report(now, BrokenRule::Drain, what);
        }
        worker.newest.insert(task, call.key.run);
        worker.runs.insert(
            task,
            EmulatedRun {
                run: call.key.run,
                room,
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
        if let Some(since) = since.filter(|_| in_touch) {
            self.oracle.started_in_evacuated(now, *since, call.key);
        }
        self.oracle.started(now, &id, call.key, in_touch);
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
        if !self.pass_fence(index, epoch) {
            return OrderAnswer::Refused(clock, RefusalReason::Fenced);
        }
        let worker = &mut self.workers[index];
        let newest = worker.newest.entry(key.task).or_default();
        *newest = key.run.max(*newest);
        if let Some(run) = worker.runs.get_mut(&key.task) {
            if run.run == key.run && !run.stopping {
                run.stopping = true;
                run.ends_at = run.ends_at.min(now + STOP_MS);
            }
        }
        OrderAnswer::Done(clock)
    }

    pub(super) fn hold(&mut self, index: usize, epoch: u64, call: &RenewalCall) -> RenewalAnswer {
        let now = self.now;
        if !self.pass_fence(index, epoch) {
            return RenewalAnswer::Fenced;
        }
        let max_lease = self.max_lease_ms();
        let worker = &mut self.workers[index];
        let clock = worker.clock(now);
        if let Some(deadline) = call.deadline {
            worker.lease_until = worker.lease_until.max(deadline.min(clock + max_lease));
        }
        for (at, end) in &worker.ended {
            // An end whose worker's lease has run out since doesn't count as acknowledged.
            if end.number <= call.last_seen && worker.lapsed_at <= *at {
                self.oracle.acknowledged(end.key, end.outcome);
            }
        }
        worker.ended.retain(|(_, end)| end.number > call.last_seen);
        let running = worker.runs.iter().map(|(task, run)| RunReport {
            key: RunKey {
                task: *task,
                run: run.run,
            },
            checkpoint: None,
            percent: 50,
            gauge: None,
        });
        RenewalAnswer::Report(RenewalReport {
            incarnation: Some(worker.life),
            carrier_late_ms: 0,
            clock,
            running: running.collect(),
            ended: worker.ended.iter().map(|(_, end)| end.clone()).collect(),
        })
    }
}
