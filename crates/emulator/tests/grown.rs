//! Days at the grown size, on the product's own scheduler.

use sandshelf_emulator::day::DayPlan;
use sandshelf_emulator::days::{day, DAYS};
use sandshelf_emulator::deployment::Deployment;
use sandshelf_emulator::world::EmulatedWorld;

/// How long callers hand jobs in where a play is cut short, in milliseconds.
const SHORT_MS: u64 = 24_000;

/// Plays a day with a seed; no rule may be broken.
fn holds(name: &str, deployment: Deployment, seed: u64) {
    let plan = day(name, deployment).expect("the day is known");
    holds_plan(name, plan, seed);
}

/// The same day, cut short.
fn holds_short(name: &str, deployment: Deployment, seed: u64) {
    let mut plan = day(name, deployment).expect("the day is known");
    plan.length_ms = SHORT_MS;
    holds_plan(name, plan, seed);
}

fn holds_plan(name: &str, plan: DayPlan, seed: u64) {
    let mut world = EmulatedWorld::new(seed, plan);
    world.run();
    let report = world.report();
    println!("{name} seed {seed}\n{report}");
    let first: Vec<_> = report.broken.iter().take(3).collect();
    assert!(first.is_empty(), "{name} seed {seed}: {first:?}\n{report}");
}

fn deployment(name: &str) -> Deployment {
    match name {
        "auction" => Deployment::auction(),
        "code-search" => Deployment::code_search(),
        "small" => Deployment::small(),
        other => panic!("no site is called {other}"),
    }
}

/// Longer runs by hand: `SANDSHELF_SEEDS=1:20` names the seeds, `SANDSHELF_DAYS=burst,weak` the days (all of them without it) and
/// `SANDSHELF_SITE=code-search` the site (auction without it). Without seeds one short day is played.
fn by_hand() {
    let Ok(seeds) = std::env::var("SANDSHELF_SEEDS") else {
        return holds("calm", Deployment::small(), 1);
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
            holds(name, deployment(&site), seed);
        }
    }
}

sandshelf_cases::cases! {
    strong_owner_under_the_burst => holds_short("burst", Deployment::auction(), 1);
    all_hosts_killed_twice => holds("lost-twice", Deployment::code_search(), 1);
    owners_killed_beside_dead_racks => holds_short("owners", Deployment::auction(), 1);
    images_fail_and_orders_are_late => holds_short("images", Deployment::code_search(), 1);
    large_configurations_in_quick_succession => holds_short("storm", Deployment::code_search(), 1);
    connections_fall_silent => holds_short("silent", Deployment::auction(), 1);
    workers_start_again_under_their_names => holds_short("restarts", Deployment::auction(), 1);
    the_owners_hall_is_cut_off => holds_short("cuts", Deployment::auction(), 1);
    seeds_by_hand => by_hand();
}
