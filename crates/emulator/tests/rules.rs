//! Each rule is seen to be broken by a host that breaks it, and kept by one that doesn't.

use sandshelf_emulator::day::{DayEvent, DayPlan, HostChoice};
use sandshelf_emulator::days::day;
use sandshelf_emulator::deployment::{Deployment, WEAK_HOST};
use sandshelf_emulator::host::{HostFault, HostModel, TransferLimit};
use sandshelf_emulator::oracle::BrokenRule;
use sandshelf_emulator::report::SimulationReport;
use sandshelf_emulator::world::EmulatedWorld;

/// The seed of all plays here.
const SEED: u64 = 1;
/// How long callers hand jobs in, in milliseconds.
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

/// Weak hosts that get a configuration of 2,600 routes, which takes their link 0.6 s.
fn large_configuration(limit: TransferLimit) -> DayPlan {
    let weak = |host: &mut HostModel| {
        *host = HostModel {
            config_limit: limit,
            ..WEAK_HOST
        };
    };
    let mut day = small(weak).with(4_000, DayEvent::Configure(2_600));
    // Owners need more than a weak host has: one stays strong.
    day.deployment.hosts[0] = Deployment::small().hosts[0];
    day.deployment.hosts[0].config_limit = limit;
    day
}

/// All hosts are killed in the middle of a day that is long enough for them to recover.
fn all_killed(fault: HostFault) -> DayPlan {
    let mut day = small(|host| host.fault = fault);
    day.length_ms = 28_000;
    day.with(6_000, DayEvent::Kill(HostChoice::All, 500))
}

/// The owner's hall is cut off one way, for long enough that another host owns the shard.
fn owners_hall_cut(fault: HostFault) -> DayPlan {
    let mut day = day("cuts", Deployment::auction()).expect("the day is known");
    day.deployment = day.deployment.with_each_host(|host| host.fault = fault);
    day.length_ms = 14_000;
    day
}

/// Hosts with a tenth of the processor that the small deployment's have.
fn tenth_of_a_processor() -> DayPlan {
    small(|host| host.processor_millis /= 10)
}

/// Hosts with a fifteenth, and few serving tasks, so that less than half of the room is in use: with a tenth of the processor the
/// owner starts all that has room in time.
fn fifteenth_of_a_processor_beside_room() -> DayPlan {
    let mut day = small(|host| host.processor_millis /= 15);
    for class in &mut day.deployment.classes {
        class.initial_jobs /= 4;
    }
    day
}

/// A play is the same each time.
fn same_play_each_time() {
    let told = |report: SimulationReport| format!("{report} {:?}", report.broken);
    let first = told(play(tenth_of_a_processor()));
    assert_eq!(first, told(play(tenth_of_a_processor())));
}

/// A play in which serving tasks swing for long enough to be learnt from is the same each time, to the byte.
fn same_bytes_each_time() {
    let told = || {
        let report = play(day("restarts", Deployment::code_search()).expect("the day is known"));
        format!("{report}")
    };
    assert_eq!(told(), told());
}

sandshelf_cases::cases! {
    a_sound_day_is_kept => keeps(small(|_| {}));
    a_recovery_is_kept => keeps(all_killed(HostFault::None));
    a_transfer_that_goes_on_is_waited_for => keeps(large_configuration(TransferLimit::Stalled(500)));
    config_by_a_limit_on_the_whole_transfer => breaks(
        BrokenRule::Config, large_configuration(TransferLimit::Whole(500)));
    away_by_a_starved_owner => breaks(BrokenRule::Away, tenth_of_a_processor());
    idle_by_a_starved_owner => breaks(BrokenRule::Idle, fifteenth_of_a_processor_beside_room());
    recover_by_a_takeover_that_never_ends => breaks(
        BrokenRule::Recover, all_killed(HostFault::EndlessTakeover));
    twice_by_a_successor_that_reads_nothing => breaks(
        BrokenRule::Twice, all_killed(HostFault::BlindTakeover));
    twice_by_an_owner_that_is_never_unsure => breaks(
        BrokenRule::Twice, owners_hall_cut(HostFault::NeverUnsure));
    an_owner_that_may_have_been_followed_is_kept => keeps(owners_hall_cut(HostFault::None));
    stop_by_an_owner_that_stops_nothing => breaks(
        BrokenRule::Stop, small(|host| host.fault = HostFault::NoStops));
    a_starved_owner_fails_the_same_way_each_time => same_play_each_time();
    restarts_are_the_same_each_time => same_bytes_each_time();
}
