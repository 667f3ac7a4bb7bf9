//! The deployments for decisions under load, on which callers compete for capacity.

use sandshelf_model::ResourceSize;

use super::{hosts, rules, Deployment, JobVariation, LoadSettings, StragglerRule};
use crate::oracle::RuleBounds;
use crate::worker::RunTiming;

/// How far estimates deviate: callers know the run time to a factor of about two.
const ESTIMATE_SPREAD: f64 = 0.9;
/// How far the sizes of short and filling tasks deviate.
const SIZE_SPREAD: f64 = 0.5;
/// The index of the class of short jobs.
const SHORT: usize = 0;
/// The index of the class of filling jobs.
const FILLING: usize = 1;
/// The index of the class of standing jobs.
const STANDING: usize = 2;

impl Deployment {
    /// The first deployment for decisions under load: 490 workers of 16 cores, 32 hosts, and leases of 10 s.
    pub fn camp() -> Self {
        let mut camp = Self {
            hosts: hosts(8, 24),
            max_lease_ms: 10_000,
            load_settings: LoadSettings {
                stop_timeout_ms: 900,
                restore_ms: 600,
                ..LoadSettings::default()
            },
            run_timing: RunTiming {
                stop_ms: (300, 900),
                restore_ms: 600,
            },
            ..Self::auction()
        };
        let short = &mut camp.classes[SHORT];
        short.rules = rules(0, 3, 1.5, 250);
        short.per_s = 14.5;
        short.work_ms = 800;
        short.size = ResourceSize::new(2_600, 5_200, 0);
        short.variation = JobVariation {
            copies_percent: 30,
            stragglers: StragglerRule {
                percent: 3,
                factor: 7,
            },
            estimate_spread: ESTIMATE_SPREAD,
            size_spread: SIZE_SPREAD,
            ..JobVariation::default()
        };
        let filling = &mut camp.classes[FILLING];
        filling.rules = rules(2, 2, 2.0, 1_000);
        filling.per_s = 25.3;
        filling.work_ms = 1_700;
        filling.variation = JobVariation {
            estimate_spread: ESTIMATE_SPREAD,
            size_spread: SIZE_SPREAD,
            ..JobVariation::default()
        };
        let standing = &mut camp.classes[STANDING];
        standing.per_s = 0.9;
        standing.variation.may_miss_percent = Some(20);
        camp
    }

    /// The second deployment for decisions under load: 490 workers of 32 cores, 34 hosts, and leases of 6 s.
    pub fn match_site() -> Self {
        let mut site = Self {
            hosts: hosts(8, 26),
            worker_size: ResourceSize::new(32_000, 128_000, 0),
            max_lease_ms: 6_000,
            bounds: RuleBounds {
                stop_ms: 400,
                ..RuleBounds::LARGE
            },
            load_settings: LoadSettings {
                stop_timeout_ms: 400,
                ..Self::camp().load_settings
            },
            run_timing: RunTiming {
                stop_ms: (130, 400),
                restore_ms: 600,
            },
            ..Self::camp()
        };
        let short = &mut site.classes[SHORT];
        short.rules.target_latency_ms = 300;
        short.per_s = 9.33;
        short.work_ms = 850;
        short.size = ResourceSize::new(5_700, 11_000, 0);
        let filling = &mut site.classes[FILLING];
        filling.per_s = 17.8;
        filling.work_ms = 1_900;
        filling.size = ResourceSize::new(3_500, 6_400, 0);
        let standing = &mut site.classes[STANDING];
        standing.per_s = 0.8;
        // As many as on the first deployment, in proportion to the rate.
        standing.initial_jobs = 145;
        standing.size = ResourceSize::new(6_400, 13_000, 0);
        site
    }
}
