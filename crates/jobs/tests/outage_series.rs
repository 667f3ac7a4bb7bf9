//! Outages of the store that overlap with workers that join, drain, are cut off and are not listed, and with new owners.
//!
//! Guards against tasks that run twice since an owner takes a lease to end before its worker does.

mod support;

use support::emulator::traffic::run_seed;
use support::faults::FaultPlan;
use support::oracle::BrokenRule;
use support::outage_plans::{
    outages_after_joins, outages_amid_takeovers, outages_in_series, outages_with_drains,
};

/// The seeds that an environment variable names as `FIRST:LAST`, for longer runs by hand.
fn named_seeds(variable: &str, default: &str) -> std::ops::Range<u64> {
    let named = std::env::var(variable).unwrap_or_else(|_| default.to_owned());
    let (first, last) = named.split_once(':').expect("seeds are named FIRST:LAST");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    number(first)..number(last) + 1
}

/// No task runs twice, and no other rule without a time limit is broken.
fn keeps_safety_rules(seeds: std::ops::Range<u64>, plan: FaultPlan) {
    let count = seeds.end - seeds.start;
    let mut unsafe_seeds = Vec::new();
    for seed in seeds {
        let mut broken = run_seed(seed, plan).oracle.broken;
        broken.retain(|(_, rule, _)| *rule != BrokenRule::Away);
        for (at, rule, what) in &broken {
            println!("seed {seed} at {at}: {rule:?}: {what}");
        }
        unsafe_seeds.extend(broken.into_iter().next().map(|first| (seed, first)));
    }
    let first_few = &unsafe_seeds[..unsafe_seeds.len().min(5)];
    let broken = unsafe_seeds.len();
    assert!(broken == 0, "{broken} of {count} seeds: {first_few:?}");
}

/// A longer run by hand: `SANDSHELF_SERIES_SEEDS=1:2000` names the seeds, and `SANDSHELF_SERIES_PLAN=0` a single plan.
fn long_run() {
    let seeds = named_seeds("SANDSHELF_SERIES_SEEDS", "1:5");
    let plans = [
        outages_in_series(),
        outages_with_drains(),
        outages_after_joins(),
        outages_amid_takeovers(),
    ];
    let chosen = std::env::var("SANDSHELF_SERIES_PLAN").ok();
    for (number, plan) in plans.into_iter().enumerate() {
        if chosen
            .as_ref()
            .is_none_or(|chosen| *chosen == number.to_string())
        {
            keeps_safety_rules(seeds.clone(), plan);
        }
    }
}

sandshelf_cases::cases! {
    faults_overlap_with_outages => keeps_safety_rules(1..101, outages_in_series());
    drains_overlap_with_outages => keeps_safety_rules(1..101, outages_with_drains());
    workers_join_before_outages => keeps_safety_rules(1..101, outages_after_joins());
    outages_overlap_with_takeovers => keeps_safety_rules(501..601, outages_amid_takeovers());
    outage_series_by_hand => long_run();
}
