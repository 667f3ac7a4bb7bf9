//! The scheduler's views of its queues and jobs for the measurement of load.

use std::collections::{BTreeMap, HashMap, HashSet};

use sandshelf_model::Millis;

use crate::admission::gate::{job_work, task_work, work_cpu_millis};
use crate::admission::meter::{JobSample, QueueSample, SAMPLE_INTERVAL_MS};
use crate::admission::view::LoadView;
use crate::due::CompletionValue;
use crate::ids::JobNumber;
use crate::job::{longest_chain_ms, objective_ms, JobState};
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;

/// A task that has waited for this long lacks capacity, in milliseconds; where there is capacity, tasks start with the next pass.
const SHORTAGE_WAIT_MS: Millis = 200;
/// The longest time between two samples of an owner that is behind its work, in milliseconds.
const MAX_SAMPLE_INTERVAL_MS: Millis = 500;
/// Filling tasks lack processors if together they are ordered to work at less than this part of their full pace, in percent.
const SLOWED_BELOW_PERCENT: u64 = 90;

/// The processors that the tasks of a queue use, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct QueueUse {
    /// What filling tasks would use at full pace.
    fill_wanted: u64,
    /// What they may use at the ordered pace.
    fill_paced: u64,
    /// What all tasks of jobs that are still of use hold or may use.
    busy: u64,
}

impl JobScheduler {
    /// The load of the queues with jobs that end; none while admission control is off or this owner has not measured for long enough.
    pub fn load_view(&self, now: Millis) -> Option<LoadView> {
        let on = self.limits.policies.admission;
        on.then(|| self.load_meter.view(now, self.epoch)).flatten()
    }

    /// The load to write into the row of waiting jobs: only one by which jobs may be refused.
    pub(crate) fn load_to_write(&self, now: Millis) -> Option<LoadView> {
        self.load_view(now).filter(LoadView::has_shortage)
    }

    /// Samples the load of all queues when that is due.
    pub(crate) fn sample_load(&mut self, now: Millis) {
        let interval_ms = self.backlog.stretched_pause_ms(SAMPLE_INTERVAL_MS);
        let interval_ms = interval_ms.min(MAX_SAMPLE_INTERVAL_MS);
        if !self.limits.policies.admission || !self.load_meter.is_due(now, interval_ms) {
            return;
        }
        // An owner that starts nothing measures no rate of work.
        if self.state_pending || self.recovery.is_some() || self.may_be_succeeded(now) {
            self.load_meter.reset();
            return;
        }
        let mut meter = std::mem::take(&mut self.load_meter);
        let queues = self.queue_samples(now);
        let worked = self.work_in_runs();
        let jobs = self.jobs.values();
        let jobs = jobs.filter_map(|job| job_sample(now, job, worked.get(&job.number)));
        meter.sample(now, &queues, jobs);
        self.load_meter = meter;
    }

    fn queue_samples(&self, now: Millis) -> Vec<QueueSample<'_>> {
        let waiting = self.waiting_queues(now);
        let uses = self.queue_uses(now);
        let mut samples: BTreeMap<&str, QueueSample<'_>> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| ends_once(job)) {
            let queue = job.spec.queue.as_str();
            samples.entry(queue).or_insert_with(|| {
                let rules = self.rules(&job.spec);
                let used = uses.get(queue).copied().unwrap_or_default();
                QueueSample {
                    queue,
                    service: &rules.service,
                    priority: rules.priority,
                    short_of_capacity: used.is_slowed() || waiting.contains(queue),
                    busy_millis: used.busy,
                }
            });
        }
        samples.into_values().collect()
    }

    /// The queues with tasks that have waited for a worker for long.
    fn waiting_queues(&self, now: Millis) -> HashSet<&str> {
        let mut queues = HashSet::new();
        for wait in &self.waiting {
            let Some(job) = self.jobs.get(&wait.task.job).filter(|job| ends_once(job)) else {
                continue;
            };
            let since = job.task(&wait.task).map(|task| task.waiting_since);
            if since.is_some_and(|since| now >= since + SHORTAGE_WAIT_MS) {
                queues.insert(job.spec.queue.as_str());
            }
        }
        queues
    }

    /// The processors in use by the tasks of each queue.
    fn queue_uses(&self, now: Millis) -> HashMap<&str, QueueUse> {
        let mut uses: HashMap<&str, QueueUse> = HashMap::new();
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        for (key, record) in runs {
            if let Some(job) = self.jobs.get(&key.task.job).filter(|job| ends_once(job)) {
                let used = uses.entry(job.spec.queue.as_str()).or_default();
                used.add(record, is_useful(now, job));
            }
        }
        uses
    }

    /// The work that the runs of each job have done, in core-milliseconds by the estimates.
    fn work_in_runs(&self) -> HashMap<JobNumber, u64> {
        let mut worked: HashMap<JobNumber, u64> = HashMap::new();
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        for (key, record) in runs.filter(|(_, record)| !record.standing) {
            let percent = u64::from(record.percent.min(100));
            let cpu_millis = work_cpu_millis(record.cpu_millis);
            let work = cpu_millis * record.chain.own_ms * percent / 100_000;
            *worked.entry(key.task.job).or_default() += work;
        }
        worked
    }
}

impl QueueUse {
    fn add(&mut self, record: &RunRecord, useful: bool) {
        let wanted = work_cpu_millis(record.cpu_millis);
        let paced = wanted * u64::from(record.pace.min(100)) / 100;
        if record.fills {
            self.fill_wanted += wanted;
            self.fill_paced += paced;
        }
        if useful {
            self.busy += paced;
        }
    }

    fn is_slowed(&self) -> bool {
        self.fill_paced * 100 < self.fill_wanted * SLOWED_BELOW_PERCENT
    }
}

/// Whether a job ends by itself and runs once.
fn ends_once(job: &JobState) -> bool {
    let standing = job.spec.steps.iter().any(|step| step.standing);
    !standing && job.spec.repeat.is_none()
}

fn is_useful(now: Millis, job: &JobState) -> bool {
    job.due.value_at(now) != CompletionValue::Zero
}

/// The sample of a job that ends and is still of use.
fn job_sample<'a>(now: Millis, job: &'a JobState, worked: Option<&u64>) -> Option<JobSample<'a>> {
    let worked = worked.copied().unwrap_or(0);
    (is_useful(now, job) && ends_once(job)).then(|| JobSample {
        number: job.number,
        queue: &job.spec.queue,
        work: job_work(&job.spec),
        work_left: open_work(job).saturating_sub(worked),
        chain_ms: longest_chain_ms(&job.spec),
        objective_ms: objective_ms(&job.spec),
        begun: job.stage != JobStage::Queued,
    })
}

/// The work of the tasks that are not done, in core-milliseconds.
fn open_work(job: &JobState) -> u64 {
    let Some(time) = job.repetitions.values().next() else {
        return 0;
    };
    let steps = job.spec.steps.iter().zip(&time.steps);
    steps
        .map(|(step, state)| {
            let open = (state.tasks.len() - state.done) as u64;
            open * task_work(step)
        })
        .sum()
}
