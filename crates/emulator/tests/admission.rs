//! Admission control on the emulated platform, with five times the usual jobs.

use sandshelf_cases::cases;
use sandshelf_emulator::day::{DayEvent, DayPlan, HostChoice};
use sandshelf_emulator::deployment::Deployment;
use sandshelf_emulator::report::SimulationReport;
use sandshelf_emulator::world::{ClassFigures, EmulatedWorld};
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

/// What the callers of the two classes of jobs that end get, and the rest of the report.
fn play(
    load: f64,
    policies: LoadPolicies,
    event: Option<DayEvent>,
) -> (Vec<ClassFigures>, SimulationReport) {
    let mut deployment = Deployment::small().with_policies(policies);
    for class in &mut deployment.classes[..ENDING_CLASSES] {
        class.per_s *= load;
    }
    let mut day = DayPlan::calm(deployment, TRAFFIC_MS);
    day.events.extend(event.map(|event| (15_000, event)));
    let mut world = EmulatedWorld::new(SEED, day);
    world.run();
    let mut figures = world.caller_figures();
    figures.truncate(ENDING_CLASSES);
    (figures, world.report())
}

/// Guards against an overload in which most accepted jobs are of no use, and against rules broken by refusals.
fn overload(event: Option<DayEvent>) {
    let (with, report) = play(LOAD, admission(), event);
    let (without, _) = play(LOAD, LoadPolicies::default(), event);
    assert!(report.broken.is_empty(), "{report}");
    for (with, without) in with.iter().zip(&without) {
        println!("with    {with}\nwithout {without}");
        // A refused job must never run, and a caller whose answer was lost must learn at a retry that its job was accepted.
        assert_eq!(with.unaccepted, 0, "{with}");
        let share = |figures: &ClassFigures| figures.in_time as f64 / figures.submitted as f64;
        assert!(share(with) > share(without), "{with} {without}");
        assert!(with.in_time * 10 >= with.accepted * 8, "{with}");
    }
}

/// Guards against refusals where there is capacity.
fn usual_load() {
    let (figures, report) = play(1.0, admission(), None);
    assert!(report.broken.is_empty(), "{report}");
    for figures in figures {
        assert_eq!(figures.accepted, figures.submitted, "{figures}");
    }
}

cases! {
    an_overload => overload(None);
    an_overload_in_which_the_owner_is_killed =>
        overload(Some(DayEvent::Kill(HostChoice::Owner, 3_000)));
    the_usual_load => usual_load();
}
