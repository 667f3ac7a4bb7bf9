//! Measures the load of queues from repeated views of an owner's jobs, and forecasts which share of new jobs ends in time.
//!
//! Load handled: more jobs than can end while they are of use, which they are for three times their objective. The work left in a queue
//! is kept below what is done in that time, with a margin: less would refuse jobs in a short overload that end in time, more would leave
//! jobs without use.

use std::collections::BTreeMap;
use std::sync::Arc;

use sandshelf_model::{Epoch, Millis};

use crate::admission::share::{AdmittedShares, PublishedShares, ShareInputs};
use crate::admission::sizes::RecentSizes;
use crate::admission::view::{LoadView, QueueLoad, FULL_SHARE_PERMILLE};
use crate::due::DueTimes;
use crate::ids::JobNumber;

/// The usual time between two samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: Millis = 250;
/// How long an owner measures before it publishes a view, in milliseconds.
const FIRST_MEASUREMENT_MS: Millis = 1_000;
/// The window over which rates of submitted work are averaged, in milliseconds.
const RATE_WINDOW_MS: f64 = 4_000.0;
/// The window over which the processors in use are averaged, in milliseconds.
const BUSY_WINDOW_MS: f64 = 1_000.0;
/// The window over which the work done for the time used is learnt, in milliseconds.
const EFFICIENCY_WINDOW_MS: f64 = 15_000.0;
/// For how long estimates are assumed right until enough is measured, in milliseconds. Reports of progress are up to 1.2 s old.
const EFFICIENCY_PRIOR_MS: f64 = 1_000.0;
/// The least number of cores in that assumption.
const MIN_BUSY_CORES: f64 = 0.001;
/// The wait that new jobs may have, in percent of the time that a job can wait and still end while it is of use. With 65, in emulated
/// overloads a tenth of the accepted jobs were of no use: jobs that are late are started after newer ones. With 40 it was 3 in 100.
const MAX_WAIT_PERCENT: u64 = 40;
/// Estimates may be too low by this factor.
const MAX_ESTIMATE_ERROR: u64 = 2;
/// How long a queue has to lack capacity before jobs are refused, in milliseconds; until then its rate is not that of full use.
const MIN_SHORTAGE_MS: Millis = 1_000;
/// How long a shortage is over before a new one is measured afresh, in milliseconds.
const SHORTAGE_GAP_MS: Millis = 1_000;
/// How long the measurement of a queue without jobs is kept, in milliseconds.
const IDLE_RETENTION_MS: Millis = 30_000;
/// The weight of the newest job in the mean of times that jobs took.
const TOOK_WEIGHT: f64 = 0.1;

/// A job that ends, as the owner sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSample<'a> {
    /// The job's number.
    pub number: JobNumber,
    /// The name of its queue.
    pub queue: &'a str,
    /// Its whole work, in core-milliseconds by its own estimates.
    pub work: u64,
    /// The work left, in core-milliseconds.
    pub work_left: u64,
    /// The estimated time of its longest chain of steps, in milliseconds.
    pub chain_ms: Millis,
    /// Its objective, in milliseconds.
    pub objective_ms: Millis,
    /// Whether something of it has run.
    pub begun: bool,
}

/// A queue, as the owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSample<'a> {
    /// The name of the queue.
    pub queue: &'a str,
    /// The service whose workers run its tasks.
    pub service: &'a str,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Whether its tasks lack capacity at present: they wait for a worker, or work slowly for lack of processors.
    pub short_of_capacity: bool,
    /// The processors that its tasks hold or, for filling tasks, may use at their ordered pace, in thousandths of a core. Without jobs of
    /// no use any more.
    pub busy_millis: u64,
}

/// The measurement of one queue.
#[derive(Clone, Debug)]
struct QueueMeter {
    service: String,
    priority: u32,
    /// When the queue last had a job.
    used_at: Millis,
    /// Whether a queue of the same service with higher priority refuses jobs.
    capped: bool,
    /// Whether jobs may be refused, as of the last sample.
    refuses: bool,
    short: bool,
    short_since: Option<Millis>,
    short_until: Millis,
    rates: ShareInputs,
    /// The processors in use at the last sample, in cores.
    busy_now: f64,
    /// The processors in use, in cores, averaged over `busy_ms` milliseconds.
    busy: f64,
    busy_ms: f64,
    /// The work done by the estimates, and the processor time used for it, in core-milliseconds; both decay.
    done_work: f64,
    used_time: f64,
    /// For how long the rates of submitted work have been averaged, in milliseconds.
    offered_ms: f64,
    sizes: RecentSizes,
    /// Jobs with more work than this are large, as of the last sample.
    large_above: u64,
    shares: AdmittedShares,
    published: PublishedShares,
    took_ratio: Option<f64>,
    waiting_jobs: u32,
    begun_jobs: u32,
    /// The work done and submitted since the last sample.
    fresh: ShareInputs,
}

/// Measures the load of all queues.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    began: Option<Millis>,
    sampled_at: Millis,
    queues: BTreeMap<Arc<str>, QueueMeter>,
    /// The work left in each job at the last sample, with its queue.
    jobs: BTreeMap<JobNumber, (Arc<str>, u64)>,
}

impl LoadMeter {
    /// Whether the next sample is due, `interval_ms` after the last one.
    pub fn is_due(&self, now: Millis, interval_ms: Millis) -> bool {
        self.began.is_none() || now >= self.sampled_at + interval_ms
    }

    /// Takes a sample of the queues and of all jobs that end and are still of use.
    pub fn sample<'a>(
        &mut self,
        now: Millis,
        queues: &[QueueSample<'_>],
        jobs: impl Iterator<Item = JobSample<'a>>,
    ) {
        let passed_ms = now.saturating_sub(self.sampled_at);
        let first = self.began.is_none();
        self.began.get_or_insert(now);
        self.sampled_at = now;
        self.queues.retain(|_, meter| !meter.is_idle(now));
        for meter in self.queues.values_mut() {
            meter.begin_sample();
        }
        for queue in queues {
            let meter = self.queues.entry(Arc::from(queue.queue));
            meter.or_insert_with(QueueMeter::new).note(now, queue);
        }
        let mut seen = BTreeMap::new();
        for job in jobs {
            let before = self.jobs.remove(&job.number).map(|(_, left)| left);
            let named = self.queues.get_key_value(job.queue);
            let Some(name) = named.map(|(name, _)| name.clone()) else {
                continue;
            };
            if let Some(meter) = self.queues.get_mut(job.queue) {
                meter.add_job(&job, before, first);
            }
            seen.insert(job.number, (name, job.work_left));
        }
        self.jobs = seen;
        for meter in self.queues.values_mut() {
            meter.update(now, if first { 0 } else { passed_ms });
        }
        self.respect_priorities();
        for meter in self.queues.values_mut() {
            meter.publish(now);
        }
    }

    /// Records the end of a job that took `took_ms` from its acceptance.
    pub fn note_ended(
        &mut self,
        number: JobNumber,
        completed: bool,
        took_ms: Millis,
        objective_ms: Millis,
    ) {
        let Some((queue, left)) = self.jobs.remove(&number) else {
            return;
        };
        let Some(meter) = self.queues.get_mut(&queue).filter(|_| completed) else {
            return;
        };
        meter.fresh.done += left as f64;
        let ratio = took_ms as f64 / objective_ms.max(1) as f64;
        let before = meter.took_ratio.unwrap_or(ratio);
        meter.took_ratio = Some(before + (ratio - before) * TOOK_WEIGHT);
    }

    /// The view to publish; none before this owner has measured for long enough.
    pub fn view(&self, now: Millis, epoch: Epoch) -> Option<LoadView> {
        let began = self.began?;
        let measured = now >= began + FIRST_MEASUREMENT_MS;
        let loads = self.queues.iter();
        let loads = loads.map(|(name, meter)| meter.load(name));
        measured.then(|| LoadView {
            epoch,
            queues: loads.collect(),
        })
    }

    /// Forgets everything, because this owner can't observe its jobs at present.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Admits no greater share of a queue than of the queues of the same service with higher priority, even where the queue itself has
    /// capacity: its tasks hold what the others need.
    fn respect_priorities(&mut self) {
        let bounds: Vec<(String, u32, f64)> = self
            .queues
            .values()
            .filter(|meter| meter.lacks_capacity(self.sampled_at))
            .map(|meter| (meter.service.clone(), meter.priority, meter.shares.usual))
            .collect();
        for meter in self.queues.values_mut() {
            for (service, priority, share) in &bounds {
                if *service == meter.service && *priority < meter.priority {
                    meter.shares = meter.shares.at_most(*share);
                    meter.capped = true;
                }
            }
        }
    }
}

impl QueueMeter {
    fn new() -> Self {
        Self {
            service: String::new(),
            priority: 0,
            used_at: 0,
            capped: false,
            refuses: false,
            short: false,
            short_since: None,
            short_until: 0,
            rates: ShareInputs::default(),
            busy_now: 0.0,
            busy: 0.0,
            busy_ms: 0.0,
            done_work: 0.0,
            used_time: 0.0,
            offered_ms: 0.0,
            sizes: RecentSizes::default(),
            large_above: u64::MAX,
            shares: AdmittedShares::FULL,
            published: PublishedShares::default(),
            took_ratio: None,
            waiting_jobs: 0,
            begun_jobs: 0,
            fresh: ShareInputs::default(),
        }
    }

    fn begin_sample(&mut self) {
        self.short = false;
        self.capped = false;
        self.busy_now = 0.0;
        self.fresh.left = 0.0;
        (self.waiting_jobs, self.begun_jobs) = (0, 0);
    }

    fn is_idle(&self, now: Millis) -> bool {
        now > self.used_at + IDLE_RETENTION_MS
    }

    /// Notes the queue's rules and whether it lacks capacity.
    fn note(&mut self, now: Millis, queue: &QueueSample<'_>) {
        if self.service != queue.service {
            queue.service.clone_into(&mut self.service);
        }
        self.priority = queue.priority;
        self.short = queue.short_of_capacity;
        self.busy_now = queue.busy_millis as f64 / 1_000.0;
        self.used_at = now;
        if !self.short {
            return;
        }
        if self.short_since.is_none() || now > self.short_until + SHORTAGE_GAP_MS {
            self.short_since = Some(now);
            self.busy_ms = 0.0;
        }
        self.short_until = now;
    }

    fn add_job(&mut self, job: &JobSample<'_>, before: Option<u64>, first: bool) {
        if job.begun {
            self.begun_jobs += 1;
        } else {
            self.waiting_jobs += 1;
        }
        let left = job.work_left as f64;
        self.fresh.left += left;
        if let Some(before) = before {
            self.fresh.done += before as f64 - left;
            return;
        }
        let large = job.work > self.large_above;
        let weight = 1.0 / self.published.in_force(large);
        self.sizes.add(job.work, weight, target_wait_ms(job));
        if first {
            return;
        }
        self.fresh.done += job.work as f64 - left;
        match large {
            true => self.fresh.offered_large += job.work as f64 * weight,
            false => self.fresh.offered += job.work as f64 * weight,
        }
    }

    /// Averages the rates with what was done and submitted since the last sample, and computes the shares.
    fn update(&mut self, now: Millis, passed_ms: Millis) {
        let fresh = std::mem::take(&mut self.fresh);
        self.rates.left = fresh.left;
        self.large_above = self.sizes.large_above();
        if passed_ms == 0 {
            return;
        }
        let passed = passed_ms as f64;
        self.busy_ms = (self.busy_ms + passed).min(BUSY_WINDOW_MS);
        self.offered_ms = (self.offered_ms + passed).min(RATE_WINDOW_MS);
        let average = |rate: &mut f64, work: f64, window: f64| {
            *rate += (work / passed - *rate) * passed / window;
        };
        average(&mut self.busy, self.busy_now * passed, self.busy_ms);
        average(&mut self.rates.offered, fresh.offered, self.offered_ms);
        average(
            &mut self.rates.offered_large,
            fresh.offered_large,
            self.offered_ms,
        );
        self.learn_efficiency(fresh.done, passed);
        self.rates.done = self.busy * self.efficiency();
        let wait_ms = self.sizes.mean_wait_ms().unwrap_or(0.0);
        self.rates.left_target = self.rates.done * wait_ms;
        let forecast = match self.lacks_capacity(now) {
            true => AdmittedShares::forecast(&self.rates),
            false => AdmittedShares::FULL,
        };
        self.shares = self.shares.towards(forecast, passed_ms);
    }

    /// Takes in the work that was done since the last sample. The time used for it is known at once, progress only with reports.
    fn learn_efficiency(&mut self, done: f64, passed_ms: f64) {
        let decay = (-passed_ms / EFFICIENCY_WINDOW_MS).exp();
        self.done_work = self.done_work * decay + done;
        self.used_time = self.used_time * decay + self.busy_now * passed_ms;
    }

    /// The work done by the estimates for each core-millisecond that is used; 1 where estimates are right on average.
    fn efficiency(&self) -> f64 {
        let prior = self.busy.max(MIN_BUSY_CORES) * EFFICIENCY_PRIOR_MS;
        (self.done_work + prior).max(0.0) / (self.used_time + prior)
    }

    /// Whether the queue has lacked capacity for long enough that jobs may be refused.
    fn lacks_capacity(&self, now: Millis) -> bool {
        let since = self.short_since.filter(|_| self.short);
        since.is_some_and(|since| now >= since + MIN_SHORTAGE_MS)
    }

    fn publish(&mut self, now: Millis) {
        self.refuses = self.capped || self.lacks_capacity(now);
        let shares = match self.refuses {
            true => self.shares,
            false => AdmittedShares::FULL,
        };
        self.published.publish(now, shares);
    }

    fn load(&self, name: &str) -> QueueLoad {
        let permille = |share: f64| (share * f64::from(FULL_SHARE_PERMILLE)).round() as u32;
        let ShareInputs {
            done,
            left,
            left_target,
            ..
        } = self.rates;
        let relief = (left - left_target).max(0.0) / done.max(MIN_BUSY_CORES);
        QueueLoad {
            queue: name.to_owned(),
            short_of_capacity: self.refuses,
            waiting_jobs: self.waiting_jobs,
            begun_jobs: self.begun_jobs,
            work_left: left as u64,
            work_per_s: (done * 1_000.0) as u64,
            took_percent: (self.took_ratio.unwrap_or(0.0) * 100.0) as u32,
            share_permille: permille(self.shares.usual),
            large_share_permille: permille(self.shares.large),
            large_above: self.large_above,
            relief_ms: relief as Millis,
        }
    }
}

/// The wait that a job should have at most, in milliseconds.
fn target_wait_ms(job: &JobSample<'_>) -> Millis {
    let due = DueTimes::new(0, 0, job.objective_ms);
    let longest_run_ms = job.chain_ms * MAX_ESTIMATE_ERROR;
    due.useless_at.saturating_sub(longest_run_ms) * MAX_WAIT_PERCENT / 100
}
