//! The emulated deployments: number and kind of workers and hosts, and the jobs that callers submit.

mod contended;
mod variation;

use sandshelf_jobs::{JobSpec, QueueRules, SchedulerLimits, StepSpec};
use sandshelf_model::{LoadPolicies, Millis, ResourceSize};

use crate::host::{HostFault, HostModel, TransferLimit};
use crate::oracle::RuleBounds;
use crate::worker::RunTiming;
pub use variation::{JobVariation, StragglerRule};

/// A strong host: half a processor core and a link of 200 Mbit/s.
pub const STRONG_HOST: HostModel = HostModel {
    processor_millis: 500,
    link_kbit_per_s: 200_000,
    config_limit: TransferLimit::Whole(500),
    fault: HostFault::None,
};
/// A weak host: 0.12 of a processor core and a link of 10 Mbit/s.
pub const WEAK_HOST: HostModel = HostModel {
    processor_millis: 120,
    link_kbit_per_s: 10_000,
    ..STRONG_HOST
};

/// A class of similar jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// The queue that the jobs are submitted to.
    pub queue: &'static str,
    /// The rules of the queue; the service in them is the same for all classes.
    pub rules: QueueRules,
    /// The mean number of jobs submitted per second.
    pub per_s: f64,
    /// How many jobs are submitted before the traffic starts.
    pub initial_jobs: usize,
    /// The mean number of steps of a job: the whole part, and one more with the probability of the fraction.
    pub steps: f64,
    /// The mean number of tasks of a step.
    pub width: f64,
    /// The mean run time of a task at full pace, in milliseconds.
    pub work_ms: Millis,
    /// The size that a task asks for.
    pub size: ResourceSize,
    /// The number of different images; 0 where the tasks have none.
    pub images: usize,
    /// The kind of the tasks.
    pub kind: TaskKind,
    /// The number of failing runs per thousand.
    pub failing: u64,
    /// The share of jobs that their callers cancel, in percent.
    pub cancelled_percent: u32,
    /// The length of a job's payload, in bytes.
    pub payload_bytes: usize,
    /// How its jobs differ from one another.
    pub variation: JobVariation,
}

/// The kind of the tasks of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// Tasks that use the processors they ask for, and end.
    Ordinary,
    /// Filling tasks, which use the processors that others leave free, and end.
    Filling,
    /// Tasks that serve until their job is cancelled; the value is their target for tail latency, in milliseconds.
    Serving(Millis),
}

impl JobClass {
    /// The step of a job with this index; it depends on the step before it.
    pub fn step(&self, index: usize, count: u32, image: usize) -> StepSpec {
        let (prefix, target_ms) = match self.kind {
            TaskKind::Ordinary => ("", 0),
            TaskKind::Filling => ("fill-", 0),
            TaskKind::Serving(target) => ("serve-", target),
        };
        let image = (!prefix.is_empty()).then(|| format!("{prefix}{image}"));
        StepSpec {
            count,
            size: self.size,
            estimate_ms: self.work_ms * 8 / 10,
            after: index.checked_sub(1).into_iter().collect(),
            checkpoints: self.kind == TaskKind::Filling,
            standing: target_ms > 0,
            image: image.unwrap_or_default(),
            target_ms,
            fills: self.kind == TaskKind::Filling,
            ..StepSpec::default()
        }
    }

    /// A job of this class, submitted at `handed_in_ms` (milliseconds since 1970).
    pub fn job(&self, steps: Vec<StepSpec>, handed_in_ms: Millis) -> JobSpec {
        JobSpec {
            queue: self.queue.to_owned(),
            address: None,
            rules: self.rules.clone(),
            payload: "t".repeat(self.payload_bytes),
            steps,
            handed_in_ms,
            repeat: None,
        }
    }
}

fn rules(priority: u32, max_attempts: u32, stretch: f64, target_latency_ms: u64) -> QueueRules {
    QueueRules {
        service: "desk".to_owned(),
        priority,
        max_attempts,
        stretch,
        target_latency_ms,
        guarded: true,
    }
}

/// A deployment of the platform.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The resources of each host.
    pub hosts: Vec<HostModel>,
    /// The number of workers.
    pub workers: usize,
    /// The capacity of a worker; every third worker has 1.5 times as much.
    pub worker_size: ResourceSize,
    /// The number of workers that share a rack.
    pub rack_size: usize,
    /// The longest lease that a worker grants, in milliseconds.
    pub max_lease_ms: Millis,
    /// The period in which the loads of serving tasks rise and fall, in milliseconds.
    pub swing_ms: Millis,
    /// The number of routes in the first configuration.
    pub routes: usize,
    /// The classes of jobs that callers submit.
    pub classes: Vec<JobClass>,
    /// The time limits of the rules.
    pub bounds: RuleBounds,
    /// What the hosts' settings say about decisions under load.
    pub load_settings: LoadSettings,
    /// How long workers take to stop and to resume runs.
    pub run_timing: RunTiming,
}

/// The settings of the hosts that concern decisions under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// The decisions under load that are switched on.
    pub policies: LoadPolicies,
    /// The longest time that a worker takes to stop a run, in milliseconds.
    pub stop_timeout_ms: Millis,
    /// The time that a run takes to resume from a checkpoint, in milliseconds.
    pub restore_ms: Millis,
}

impl Default for LoadSettings {
    /// The scheduler's own defaults, with all policies off.
    fn default() -> Self {
        let limits = SchedulerLimits::default();
        Self {
            policies: limits.policies,
            stop_timeout_ms: limits.stop_timeout_ms,
            restore_ms: limits.restore_ms,
        }
    }
}

fn hosts(strong: usize, weak: usize) -> Vec<HostModel> {
    // The platform names hosts hall by hall, and strong hosts come first in each hall.
    let mut hosts = vec![STRONG_HOST; strong];
    hosts.extend(vec![WEAK_HOST; weak]);
    hosts
}

impl Deployment {
    /// The large auction deployment: 490 workers, 8 strong hosts and 24 weak ones.
    pub fn auction() -> Self {
        Self {
            hosts: hosts(8, 24),
            workers: 490,
            worker_size: ResourceSize::new(16_000, 64_000, 0),
            rack_size: 12,
            max_lease_ms: 6_000,
            swing_ms: 14_000,
            routes: 43,
            classes: vec![
                JobClass {
                    queue: "pricing",
                    rules: rules(0, 3, 1.5, 250),
                    per_s: 10.7,
                    initial_jobs: 0,
                    steps: 1.6,
                    width: 9.5,
                    work_ms: 1_000,
                    size: ResourceSize::new(2_800, 5_600, 0),
                    images: 0,
                    kind: TaskKind::Ordinary,
                    failing: 20,
                    cancelled_percent: 0,
                    payload_bytes: 500,
                    variation: JobVariation::default(),
                },
                JobClass {
                    queue: "settlement",
                    rules: rules(2, 4, 2.0, 1_000),
                    per_s: 19.6,
                    initial_jobs: 43,
                    steps: 2.0,
                    width: 20.0,
                    work_ms: 2_200,
                    size: ResourceSize::new(1_800, 3_200, 0),
                    images: 18,
                    kind: TaskKind::Filling,
                    failing: 20,
                    cancelled_percent: 5,
                    payload_bytes: 150,
                    variation: JobVariation::default(),
                },
                JobClass {
                    queue: "watch",
                    rules: rules(0, 2, 2.2, 2_500),
                    per_s: 0.908,
                    initial_jobs: 163,
                    steps: 1.0,
                    width: 14.0,
                    work_ms: 500,
                    size: ResourceSize::new(3_200, 6_400, 0),
                    images: 10,
                    kind: TaskKind::Serving(50),
                    failing: 30,
                    cancelled_percent: 0,
                    payload_bytes: 150,
                    variation: JobVariation::default(),
                },
            ],
            bounds: RuleBounds::LARGE,
            load_settings: LoadSettings::default(),
            run_timing: RunTiming::default(),
        }
    }

    /// The large code-search deployment: 350 larger workers, 8 strong hosts and 32 weak ones.
    pub fn code_search() -> Self {
        let mut large = Self {
            hosts: hosts(8, 32),
            workers: 350,
            worker_size: ResourceSize::new(64_000, 256_000, 0),
            rack_size: 8,
            max_lease_ms: 10_000,
            swing_ms: 20_000,
            ..Self::auction()
        };
        let lookup = &mut large.classes[0];
        lookup.queue = "lookup";
        lookup.per_s = 13.3;
        lookup.work_ms = 800;
        lookup.size = ResourceSize::new(8_100, 16_000, 0);
        lookup.failing = 5;
        let reindex = &mut large.classes[1];
        reindex.queue = "reindex";
        reindex.rules.max_attempts = 2;
        reindex.per_s = 14.4;
        reindex.initial_jobs = 32;
        reindex.size = ResourceSize::new(7_000, 13_000, 0);
        reindex.failing = 5;
        reindex.payload_bytes = 500;
        let crawl = &mut large.classes[2];
        crawl.queue = "crawl";
        crawl.rules.max_attempts = 4;
        crawl.per_s = 0.65;
        crawl.initial_jobs = 117;
        crawl.size = ResourceSize::new(13_000, 26_000, 0);
        crawl.kind = TaskKind::Serving(125);
        crawl.payload_bytes = 1_200;
        large
    }

    /// A small auction deployment for quick tests: 66 workers, and 6 hosts with a quarter of a processor core each.
    pub fn small() -> Self {
        let medium_host = HostModel {
            processor_millis: 250,
            link_kbit_per_s: 1_000_000,
            ..STRONG_HOST
        };
        let mut small = Self {
            hosts: vec![medium_host; 6],
            workers: 66,
            bounds: RuleBounds::SMALL,
            ..Self::auction()
        };
        for class in &mut small.classes {
            class.per_s *= 66.0 / 490.0;
            class.initial_jobs = class.initial_jobs * 66 / 490;
        }
        small
    }

    /// The deployment with this name; `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "auction" => Self::auction(),
            "code-search" => Self::code_search(),
            "small" => Self::small(),
            "camp" => Self::camp(),
            "match" => Self::match_site(),
            _ => return None,
        })
    }

    /// The limits of the hosts' schedulers.
    pub fn scheduler_limits(&self) -> SchedulerLimits {
        SchedulerLimits {
            max_lease_ms: self.max_lease_ms,
            stop_timeout_ms: self.load_settings.stop_timeout_ms,
            restore_ms: self.load_settings.restore_ms,
            policies: self.load_settings.policies,
            ..SchedulerLimits::default()
        }
    }

    /// Whether standing jobs say how many of their tasks may be unavailable at once.
    pub fn limits_missing_tasks(&self) -> bool {
        let mut classes = self.classes.iter();
        classes.any(|class| class.variation.may_miss_percent.is_some())
    }

    /// The same deployment with these decisions under load switched on.
    pub fn with_policies(mut self, policies: LoadPolicies) -> Self {
        self.load_settings.policies = policies;
        self
    }

    /// The same deployment with a change to each host.
    pub fn with_each_host(mut self, change: impl Fn(&mut HostModel)) -> Self {
        self.hosts.iter_mut().for_each(change);
        self
    }

    /// The same deployment with other hosts.
    pub fn with_hosts(self, hosts: Vec<HostModel>) -> Self {
        Self { hosts, ..self }
    }
}
