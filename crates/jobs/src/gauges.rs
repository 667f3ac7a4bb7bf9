//! Counts of jobs, tasks and workers, for metrics and the log.

use std::collections::BTreeMap;

use sandshelf_model::Millis;

use crate::ids::JobNumber;
use crate::over_target::OverTargetStretch;
use crate::queues::QueueAddress;
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;

/// Counts of jobs, tasks and workers, for metrics and the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounts {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Tasks and gangs that wait for a worker.
    pub waiting: usize,
    /// Runs that may be running.
    pub runs: usize,
    /// Workers that may be given tasks.
    pub open_workers: usize,
    /// All known workers.
    pub workers: usize,
    /// Rows and pages of jobs' progress that are not durable yet.
    pub dirty: usize,
    /// The job whose progress has waited longest to be written; none if all is durable.
    pub oldest_unwritten: Option<JobNumber>,
    /// How long that progress has waited, in milliseconds.
    pub oldest_unwritten_ms: Millis,
    /// Ends that workers list and that are not acknowledged, since progress that they changed is not durable yet.
    pub unacknowledged_ends: u64,
    /// The factor by which the owner stretches deferrable work, in percent; 100 if it keeps up.
    pub stretch: u64,
    /// Running serving tasks.
    pub serving: usize,
    /// Serving tasks that were over their target at the last reading.
    pub over_target: usize,
    /// How long the serving task that has been over its target for longest has been so, in milliseconds.
    pub longest_over_ms: Millis,
    /// Running filling tasks.
    pub filling: usize,
    /// Filling tasks that were ordered to run at less than full pace.
    pub slowed: usize,
    /// Halls that operators have evacuated.
    pub evacuated_halls: usize,
    /// Runs in evacuated halls.
    pub evacuated_runs: usize,
    /// The processors that the filling tasks would use at full pace, in thousandths of a core.
    pub fill_wanted: u64,
    /// The processors that the filling tasks would use at the ordered pace, in thousandths of a core.
    pub fill_paced: u64,
    /// The processors that the filling tasks used at the last reading, in thousandths of a core.
    pub fill_used: u64,
    /// Filling jobs that wait because the capacity does not suffice for them and for those that have begun.
    pub filling_held: usize,
    /// Workers that are reserved for large tasks.
    pub reserved_workers: usize,
    /// Runs that were started as copies of slow runs.
    pub copies: usize,
    /// Rooms that are held for waiting tasks after preemptions.
    pub holds: usize,
    /// The processors in these rooms, in thousandths of a core.
    pub held_cpu: u64,
}

impl JobScheduler {
    /// Whether the progress of every job is durable.
    pub fn is_written(&self) -> bool {
        self.dirty.is_empty()
    }

    /// The published number of waiting jobs by queue; none before this owner has counted them.
    pub fn pending_counts(&self) -> Option<&BTreeMap<QueueAddress, u64>> {
        self.pending_counts.as_ref()
    }

    /// The number of waiting tasks and gangs, and the time of the last placement pass.
    pub fn last_pass(&self) -> (usize, Millis) {
        (self.waiting.len(), self.last_pass)
    }

    /// Counts jobs, tasks and workers.
    pub fn counts(&self, now: Millis) -> SchedulerCounts {
        let open = self.workers.values().filter(|worker| worker.is_open(now));
        let evacuated = self.workers.values().filter(|worker| worker.evacuated);
        let (holds, held_cpu) = self.held_capacity();
        let oldest = self.dirty.first();
        let unacknowledged = self.workers.values();
        let unacknowledged = unacknowledged.map(|worker| worker.incarnation.unwritten_ends());
        let mut counts = SchedulerCounts {
            holds,
            held_cpu,
            jobs: self.jobs.len(),
            waiting: self.waiting.len(),
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            open_workers: open.count(),
            workers: self.workers.len(),
            dirty: self.dirty.len(),
            oldest_unwritten: oldest.map(|change| change.part.job()),
            oldest_unwritten_ms: oldest.map_or(0, |change| now.saturating_sub(change.since)),
            unacknowledged_ends: unacknowledged.sum(),
            stretch: self.backlog.stretch(),
            reserved_workers: self.reservations.len(),
            filling_held: self.filling_limits.held_jobs(),
            evacuated_halls: self.evacuated.len(),
            evacuated_runs: evacuated.map(|worker| worker.runs.len()).sum(),
            ..SchedulerCounts::default()
        };
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        for record in runs {
            counts.add_run(record);
        }
        counts
    }
}

impl SchedulerCounts {
    fn add_run(&mut self, record: &RunRecord) {
        let gauge = record.gauge.unwrap_or(0);
        self.copies += usize::from(record.copy);
        if record.target_ms > 0 {
            self.serving += 1;
            self.over_target += usize::from(gauge > record.target_ms);
            let stretch = record.over_stretch.as_ref();
            let over_ms = stretch.map_or(0, OverTargetStretch::lasted_ms);
            self.longest_over_ms = self.longest_over_ms.max(over_ms);
        }
        if record.fills {
            let pace = u64::from(record.pace.min(100));
            self.filling += 1;
            self.slowed += usize::from(pace < 100);
            self.fill_wanted += record.cpu_millis;
            self.fill_paced += record.cpu_millis * pace / 100;
            self.fill_used += gauge;
        }
    }
}
