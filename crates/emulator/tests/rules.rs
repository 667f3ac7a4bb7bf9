//! Checks that the oracle reports each rule that a faulty host breaks, and reports nothing for sound hosts.

use sandshelf_emulator::day::{DayEvent, DayPlan, HostChoice};
use sandshelf_emulator::days::day;
use sandshelf_emulator::deployment::{Deployment, WEAK_HOST};
use sandshelf_emulator::host::{HostFault, HostModel, TransferLimit};
use sandshelf_emulator::oracle::BrokenRule;
use sandshelf_emulator::report::SimulationReport;
use sandshelf_emulator::world::EmulatedWorld;

/// The seed of all simulations in this file.
const SEED: u64 = 1;
/// Duration of the traffic, in milliseconds.
const TRAFFIC_MS: u64 = 12_000;

fn play(day: DayPlan) -> SimulationReport {
    let mut world = EmulatedWorld::new(SEED, day);
    world.run();
    world.report()
}

fn small(change: impl Fn(&mut HostModel)) -> DayPlan {
    DayPlan::calm(Deployment::small().with_each_host(change), TRAFFIC_MS)
}

fn breaks(rule: BrokenRule, day: DayPlan) {
    let report = play(day);
    let broken = report.broken_by_rule();
    assert!(broken.contains_key(&rule), "{report}");
}

fn keeps(day: DayPlan) {
    let report = play(day);
    assert!(
        report.broken.is_empty(),
        "{report}\n{:?}",
        report.broken.first()
    );
}

/// Weak hosts receive a configuration of 2,600 routes, whose transfer takes 0.6 s over their link.
fn large_configuration(limit: TransferLimit) -> DayPlan {
    let weak = |host: &mut HostModel| {
        *host = HostModel {
            config_limit: limit,
            ..WEAK_HOST
        };
    };
    let mut day = small(weak).with(4_000, DayEvent::Configure(2_600));
    // A shard owner needs more resources than a weak host has, so that one host stays strong.
    day.deployment.hosts[0] = Deployment::small().hosts[0];
    day.deployment.hosts[0].config_limit = limit;
    day
}

/// All hosts are killed during a day that is long enough for them to recover.
fn all_killed(fault: HostFault) -> DayPlan {
    let mut day = small(|host| host.fault = fault);
    day.length_ms = 28_000;
    day.with(6_000, DayEvent::Kill(HostChoice::All, 500))
}

/// The owner's hall is cut off in one direction for so long that another host becomes the owner of the shard.
fn owners_hall_cut(fault: HostFault) -> DayPlan {
    let mut day = day("cuts", Deployment::auction()).expect("the day is known");
    day.deployment = day.deployment.with_each_host(|host| host.fault = fault);
    day.length_ms = 14_000;
    day
}

/// Hosts with a tenth of the processor share of the small deployment.
fn tenth_of_a_processor() -> DayPlan {
    small(|host| host.processor_millis /= 10)
}

/// Hosts with a fifteenth of that processor share, and few serving tasks, so that less than half of the capacity is in use. With a
/// tenth of the processor share the owner still starts in time all tasks for which there is capacity.
fn fifteenth_of_a_processor_with_free_capacity() -> DayPlan {
    let mut day = small(|host| host.processor_millis /= 15);
    for class in &mut day.deployment.classes {
        class.initial_jobs /= 4;
    }
    day
}

/// A simulation gives the same result each time.
fn same_play_each_time() {
    let print = |report: SimulationReport| format!("{report} {:?}", report.broken);
    let first = print(play(tenth_of_a_processor()));
    assert_eq!(first, print(play(tenth_of_a_processor())));
}

/// A simulation in which the load of serving tasks changes for long enough that interference is learnt gives the same report each
/// time, to the byte.
fn same_bytes_each_time() {
    let print = || {
        let report = play(day("restarts", Deployment::code_search()).expect("the day is known"));
        format!("{report}")
    };
    assert_eq!(print(), print());
}

sandshelf_cases::cases! {
    no_rule_broken_by_sound_hosts => keeps(small(|_| {}));
    no_rule_broken_by_a_recovery => keeps(all_killed(HostFault::None));
    no_rule_broken_by_a_slow_transfer => keeps(large_configuration(TransferLimit::Stalled(500)));
    config_by_a_limit_on_the_whole_transfer => breaks(
        BrokenRule::Config, large_configuration(TransferLimit::Whole(500)));
    away_by_a_starved_owner => breaks(BrokenRule::Away, tenth_of_a_processor());
    idle_by_a_starved_owner => breaks(BrokenRule::Idle, fifteenth_of_a_processor_with_free_capacity());
    recover_by_an_endless_takeover => breaks(
        BrokenRule::Recover, all_killed(HostFault::EndlessTakeover));
    twice_by_a_successor_that_reads_nothing => breaks(
        BrokenRule::Twice, all_killed(HostFault::BlindTakeover));
    twice_by_an_owner_that_is_never_unsure => breaks(
        BrokenRule::Twice, owners_hall_cut(HostFault::NeverUnsure));
    no_rule_broken_by_a_cut_off_owner => keeps(owners_hall_cut(HostFault::None));
    stop_by_an_owner_that_stops_nothing => breaks(
        BrokenRule::Stop, small(|host| host.fault = HostFault::NoStops));
    a_starved_owner_gives_the_same_report_each_time => same_play_each_time();
    worker_restarts_give_the_same_report_each_time => same_bytes_each_time();
}
