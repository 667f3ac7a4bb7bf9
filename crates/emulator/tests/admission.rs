//! Admission control on the emulated platform, with five times the usual jobs.

use sandshelf_cases::cases;
use sandshelf_emulator::day::{DayEvent, DayPlan, HostChoice};
use sandshelf_emulator::deployment::Deployment;
use sandshelf_emulator::outcomes::{OutcomeCounts, OutcomeKind};
use sandshelf_emulator::report::SimulationReport;
use sandshelf_emulator::world::EmulatedWorld;
use sandshelf_model::{LoadPolicies, LoadPolicy};

/// The seed of all simulations in this file.
const SEED: u64 = 1;
/// Duration of the traffic, in milliseconds.
const TRAFFIC_MS: u64 = 30_000;
/// The first classes of the deployment are of jobs that end; those of the last are cancelled.
const ENDING_CLASSES: usize = 2;
/// The traffic of jobs that end, as a multiple of the usual one.
const LOAD: f64 = 5.0;

fn admission() -> LoadPolicies {
    LoadPolicies::default().with(LoadPolicy::Admission)
}

/// What callers get of the emulated platform.
fn play(load: f64, policies: LoadPolicies, event: Option<DayEvent>) -> SimulationReport {
    let mut deployment = Deployment::small().with_policies(policies);
    for class in &mut deployment.classes[..ENDING_CLASSES] {
        class.per_s *= load;
    }
    let mut day = DayPlan::calm(deployment, TRAFFIC_MS);
    day.events.extend(event.map(|event| (15_000, event)));
    let mut world = EmulatedWorld::new(SEED, day);
    world.run();
    world.report()
}

/// The outcomes of the two classes of jobs that end.
fn ending(report: &SimulationReport) -> Vec<OutcomeCounts> {
    let classes = report.classes.iter().take(ENDING_CLASSES);
    let counts = classes.map(|class| match class.kind {
        OutcomeKind::Ending(sized) => sized.all,
        OutcomeKind::Standing(_) => panic!("these jobs end: {class}"),
    });
    counts.collect()
}

/// The jobs that were not cancelled.
fn submitted(counts: &OutcomeCounts) -> usize {
    counts.decided() + counts.open
}

/// The accepted jobs that were not cancelled.
fn accepted(counts: &OutcomeCounts) -> usize {
    submitted(counts) - counts.refused - counts.not_accepted
}

/// The jobs that were completed while they were of use.
fn of_use(counts: &OutcomeCounts) -> usize {
    counts.in_time + counts.late
}

/// Guards against an overload in which most accepted jobs are of no use, and against rules broken by refusals.
fn overload(event: Option<DayEvent>) {
    let report = play(LOAD, admission(), event);
    let without = play(LOAD, LoadPolicies::default(), event);
    // These rules include that no job runs of which each try was refused.
    assert!(report.broken.is_empty(), "{report}");
    for (with, without) in ending(&report).iter().zip(&ending(&without)) {
        println!("with    {with}\nwithout {without}");
        // A caller whose answer was lost must learn at a retry that its job was accepted.
        assert_eq!(with.not_accepted, 0, "{with}");
        let share = |counts: &OutcomeCounts| of_use(counts) as f64 / submitted(counts) as f64;
        assert!(share(with) > share(without), "{with} {without}");
        assert!(of_use(with) * 10 >= accepted(with) * 8, "{with}");
    }
}

/// Guards against refusals where there is capacity.
fn usual_load() {
    let report = play(1.0, admission(), None);
    assert!(report.broken.is_empty(), "{report}");
    for counts in ending(&report) {
        assert_eq!(accepted(&counts), submitted(&counts), "{counts}");
    }
}

cases! {
    an_overload => overload(None);
    an_overload_in_which_the_owner_is_killed =>
        overload(Some(DayEvent::Kill(HostChoice::Owner, 3_000)));
    the_usual_load => usual_load();
}
