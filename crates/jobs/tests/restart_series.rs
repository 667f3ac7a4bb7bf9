//! Workers that restart under their names while calls to them are under way, and are cut off around a change of owner.
//!
//! Guards against tasks that run twice since an owner forgets that a restarted worker may be leased up to the worker's own limit.

mod support;

use support::emulator::traffic::run_seed;
use support::faults::{FaultPlan, OwnerChange};
use support::oracle::BrokenRule;
use support::plans::with_policies;
use support::restart_plans::{
    repeated_restarts, restarts_amid_late_acknowledgements, restarts_amid_late_orders,
    restarts_before, restarts_before_two_changes, restarts_in_series,
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
        unsafe_seeds.extend(broken.into_iter().next().map(|_| seed));
    }
    let broken = unsafe_seeds.len();
    assert!(broken == 0, "{broken} of {count} seeds: {unsafe_seeds:?}");
}

/// A longer run by hand: `SANDSHELF_RESTART_SEEDS=1:2000` names the seeds, and `SANDSHELF_RESTART_PLAN=0` a single plan.
fn long_run() {
    let seeds = named_seeds("SANDSHELF_RESTART_SEEDS", "1:2");
    let plans = [6_000, 10_000].map(|max_lease_ms| {
        [
            restarts_in_series(max_lease_ms),
            restarts_before_two_changes(max_lease_ms),
            repeated_restarts(max_lease_ms),
            restarts_amid_late_orders(max_lease_ms),
        ]
    });
    let chosen = std::env::var("SANDSHELF_RESTART_PLAN").ok();
    for (number, plan) in plans.into_iter().flatten().enumerate() {
        if chosen
            .as_ref()
            .is_none_or(|chosen| *chosen == number.to_string())
        {
            keeps_safety_rules(seeds.clone(), plan);
        }
    }
}

sandshelf_cases::cases! {
    owner_dies_after_restarts => keeps_safety_rules(1..101, restarts_before(OwnerChange::Dies, 6_000));
    owner_dies_after_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_before(OwnerChange::Dies, 10_000));
    owner_freezes_after_restarts => keeps_safety_rules(1..101, restarts_before(OwnerChange::Freezes, 6_000));
    owner_freezes_after_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_before(OwnerChange::Freezes, 10_000));
    owner_stops_after_restarts => keeps_safety_rules(1..101, restarts_before(OwnerChange::Releases, 6_000));
    owner_stops_after_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_before(OwnerChange::Releases, 10_000));
    same_host_claims_after_restarts => keeps_safety_rules(1..101, restarts_before(OwnerChange::Reclaims, 6_000));
    same_host_claims_after_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_before(OwnerChange::Reclaims, 10_000));
    owner_stays_after_restarts => keeps_safety_rules(1..101, restarts_before(OwnerChange::Stays, 6_000));
    owner_stays_after_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_before(OwnerChange::Stays, 10_000));
    owner_changes_twice_after_restarts => keeps_safety_rules(1..101, restarts_before_two_changes(6_000));
    owner_changes_twice_after_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_before_two_changes(10_000));
    workers_restart_twice => keeps_safety_rules(1..101, repeated_restarts(6_000));
    workers_restart_twice_with_longer_leases => keeps_safety_rules(1..101, repeated_restarts(10_000));
    orders_outlive_restarts => keeps_safety_rules(1..101, restarts_amid_late_orders(6_000));
    orders_outlive_restarts_with_longer_leases => keeps_safety_rules(1..101, restarts_amid_late_orders(10_000));
    calls_are_repeated_after_restarts => keeps_safety_rules(1..101, with_policies(restarts_in_series(6_000)));
    calls_are_repeated_after_restarts_with_longer_leases => keeps_safety_rules(1..101, with_policies(restarts_in_series(10_000)));
    acknowledgements_outlive_restarts => keeps_safety_rules(1..101, restarts_amid_late_acknowledgements(6_000));
    // A late order is carried out after the owner has settled it by a stop, which the next incarnation doesn't know.
    settled_orders_outlive_restarts => keeps_safety_rules(325..326, restarts_amid_late_orders(6_000));
    restart_series_by_hand => long_run();
}
