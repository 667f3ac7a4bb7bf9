//! Simulates days at production size with the product's own scheduler.

use sandshelf_emulator::day::DayPlan;
use sandshelf_emulator::days::{day, DAYS};
use sandshelf_emulator::deployment::Deployment;
use sandshelf_emulator::world::EmulatedWorld;

/// Duration of the traffic in a shortened simulation, in milliseconds.
const SHORT_TRAFFIC_MS: u64 = 24_000;

/// Simulates a day with a seed and checks that no rule is broken.
fn check_day(name: &str, deployment: Deployment, seed: u64) {
    let plan = day(name, deployment).expect("the day is known");
    check_plan(name, plan, seed);
}

/// Like `check_day`, with the traffic shortened.
fn check_short_day(name: &str, deployment: Deployment, seed: u64) {
    let mut plan = day(name, deployment).expect("the day is known");
    plan.length_ms = SHORT_TRAFFIC_MS;
    check_plan(name, plan, seed);
}

fn check_plan(name: &str, plan: DayPlan, seed: u64) {
    let mut world = EmulatedWorld::new(seed, plan);
    world.run();
    let report = world.report();
    println!("{name} seed {seed}\n{report}");
    let first: Vec<_> = report.broken.iter().take(3).collect();
    assert!(first.is_empty(), "{name} seed {seed}: {first:?}\n{report}");
}

fn deployment(name: &str) -> Deployment {
    Deployment::from_name(name).unwrap_or_else(|| panic!("no site is called {name}"))
}

/// Longer manual runs. `SANDSHELF_SEEDS=1:20` sets the seeds, `SANDSHELF_DAYS=burst,weak` the days (default: all) and
/// `SANDSHELF_SITE=code-search` the site (default: auction). Without `SANDSHELF_SEEDS` one day of the small site is simulated.
fn run_manual_seeds() {
    let Ok(seeds) = std::env::var("SANDSHELF_SEEDS") else {
        return check_day("calm", Deployment::small(), 1);
    };
    let (first, last) = seeds
        .split_once(':')
        .expect("SANDSHELF_SEEDS is FIRST:LAST");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    let site = std::env::var("SANDSHELF_SITE").unwrap_or_else(|_| "auction".to_owned());
    let all = DAYS.map(|(name, _)| name).join(",");
    let days = std::env::var("SANDSHELF_DAYS").unwrap_or(all);
    for name in days.split(',') {
        for seed in number(first)..=number(last) {
            check_day(name, deployment(&site), seed);
        }
    }
}

sandshelf_cases::cases! {
    strong_owner_during_a_burst => check_short_day("burst", Deployment::auction(), 1);
    all_hosts_killed_twice => check_day("lost-twice", Deployment::code_search(), 1);
    owners_killed_while_racks_are_dead => check_short_day("owners", Deployment::auction(), 1);
    images_fail_and_orders_are_late => check_short_day("images", Deployment::code_search(), 1);
    large_configurations_in_quick_succession => check_short_day("storm", Deployment::code_search(), 1);
    connections_stop_delivering => check_short_day("silent", Deployment::auction(), 1);
    workers_restart_under_their_names => check_short_day("restarts", Deployment::auction(), 1);
    restarted_workers_are_cut_off_after_the_owner_is_killed => check_day("recut", Deployment::auction(), 1);
    restarted_workers_with_longer_leases_are_cut_off_after_the_owner_is_killed => check_day("recut", Deployment::code_search(), 1);
    the_owners_hall_is_cut_off => check_short_day("cuts", Deployment::auction(), 1);
    owners_turned_away_before_workers_are_cut_off => check_day("turned-away", Deployment::auction(), 1);
    owners_killed_in_outages_before_workers_are_cut_off => check_day("outages", Deployment::auction(), 1);
    owners_killed_in_outages_of_a_small_site => check_day("outages", Deployment::small(), 1);
    draining_workers_refuse_connections => check_day("drains", Deployment::auction(), 1);
    a_quarter_of_the_workers_is_lost => check_short_day("quarter-lost", Deployment::camp(), 1);
    twice_the_filling_jobs => check_short_day("overload", Deployment::camp(), 1);
    an_owner_is_killed_in_double_traffic => check_short_day("double", Deployment::match_site(), 1);
    runs_make_no_progress => check_short_day("stuck", Deployment::match_site(), 1);
    workers_are_reclaimed => check_short_day("reclaimed", Deployment::camp(), 1);
    the_store_refuses_a_third_of_the_hosts => check_short_day("store-refuses", Deployment::camp(), 1);
    manual_seeds => run_manual_seeds();
}
