//! Tests how the outcomes of jobs are counted.

use sandshelf_emulator::catalog::{EmulatedJob, JobCatalog};
use sandshelf_emulator::day::{DayEvent, DayPlan, HostChoice};
use sandshelf_emulator::deployment::{Deployment, StragglerRule};
use sandshelf_emulator::oracle::BrokenRule;
use sandshelf_emulator::outcomes::{
    ClassOutcomes, JobEnd, JobOutcome, JobRecord, OutcomeCounts, OutcomeKind, SizedOutcomes,
    StandingTime, SubmissionEnd,
};
use sandshelf_emulator::world::EmulatedWorld;
use sandshelf_jobs::{JobNumber, JobSpec, QueueRules, StepSpec};
use sandshelf_model::ResourceSize;

/// A job that was submitted at 1 s with an objective of 2 s, so that it is of use until 7 s.
fn record(submission: SubmissionEnd, end: JobEnd) -> JobRecord {
    JobRecord {
        submitted_ms: 1_000,
        objective_ms: 2_000,
        work: 0,
        submission,
        end,
    }
}

fn outcome(end: JobEnd, until: u64) -> JobOutcome {
    record(SubmissionEnd::Accepted, end).outcome(until)
}

fn unaccepted(submission: SubmissionEnd) -> JobOutcome {
    record(submission, JobEnd::None).outcome(30_000)
}

/// Ten jobs whose work grows with their number, of which the largest was never completed and the next two were late.
fn ten_jobs() -> SizedOutcomes {
    let job = |number: u64| {
        let end = match number {
            9 => JobEnd::None,
            7 | 8 => JobEnd::Completed(5_000),
            _ => JobEnd::Completed(2_000),
        };
        JobRecord {
            work: number,
            ..record(SubmissionEnd::Accepted, end)
        }
    };
    SizedOutcomes::count((0..10).map(job).collect(), 30_000)
}

fn counts(in_time: usize, late: usize, never_in_time: usize) -> OutcomeCounts {
    OutcomeCounts {
        in_time,
        late,
        never_in_time,
        ..OutcomeCounts::default()
    }
}

fn share_without_undecided_jobs() {
    let counts = OutcomeCounts {
        refused: 1,
        not_accepted: 1,
        failed: 1,
        cancelled: 5,
        open: 7,
        ..counts(4, 2, 1)
    };
    assert_eq!(counts.in_time_share(), Some(0.4));
    assert_eq!(OutcomeCounts::default().in_time_share(), None);
}

fn standing_shares() {
    let time = StandingTime {
        total_ms: 1_000,
        at_work_ms: 800,
        on_target_ms: 500,
    };
    assert_eq!(time.shares(), Some((0.8, 0.5)));
    assert_eq!(StandingTime::default().shares(), None);
}

/// Two steps of tasks of one size, the second after the first.
fn two_steps(stragglers: StragglerRule) -> JobCatalog {
    let step = |after: Vec<usize>| StepSpec {
        count: 3,
        size: ResourceSize::new(2_000, 100, 0),
        after,
        ..StepSpec::default()
    };
    let rules = QueueRules {
        stretch: 1.5,
        target_latency_ms: 250,
        ..QueueRules::default()
    };
    let spec = JobSpec {
        address: None,
        queue: "pricing".to_owned(),
        rules,
        payload: String::new(),
        steps: vec![step(Vec::new()), step(vec![0])],
        handed_in_ms: 0,
        repeat: None,
    };
    let mut catalog = JobCatalog::new(1);
    let job = EmulatedJob {
        spec: spec.into(),
        work_ms: 1_000,
        failing: 0,
        stragglers,
    };
    catalog.add(JobNumber(1), job);
    catalog
}

/// Estimates and stragglers do not change an objective: it follows from the true times of the longest task of each step, which
/// deviate from the mean by a quarter at most.
fn objective_from_true_times() {
    let stragglers = StragglerRule {
        percent: 100,
        factor: 7,
    };
    let demand = |stragglers| two_steps(stragglers).demand(JobNumber(1));
    let plain = demand(StragglerRule::default()).expect("the job is known");
    assert_eq!(demand(stragglers), Some(plain));
    let chain = (plain.objective_ms - 250) as f64 / 1.5;
    assert!((1_500.0..=2_500.0).contains(&chain), "{plain:?}");
    assert!((9_000..=15_000).contains(&plain.work), "{plain:?}");
}

fn calm_outcomes() -> Vec<ClassOutcomes> {
    let mut world = EmulatedWorld::new(1, DayPlan::calm(Deployment::small(), 8_000));
    world.run();
    world.report().classes
}

/// On a calm day of the small deployment no job is refused, and each class is served.
fn calm_day_is_served() {
    for class in calm_outcomes() {
        assert!(class.served_share() > Some(0.9), "{class}");
        if let OutcomeKind::Ending(sized) = class.kind {
            assert_eq!(sized.all.refused + sized.all.not_accepted, 0, "{class}");
            assert_eq!(sized.all.open, 0, "{class}");
        }
    }
}

/// The counts of the short jobs of a small deployment of which all hosts lose the store for 6 s.
fn counts_without_store(event: DayEvent) -> OutcomeCounts {
    let day = DayPlan::calm(Deployment::small(), 12_000).with(3_000, event);
    let mut world = EmulatedWorld::new(1, day);
    world.run();
    let report = world.report();
    let refused_that_ran = report.broken_by_rule().remove(&BrokenRule::Refused);
    assert_eq!(refused_that_ran, None, "{report}");
    let OutcomeKind::Ending(sized) = report.classes[0].kind else {
        panic!("short jobs end: {report}");
    };
    sized.all
}

/// While the store refuses all hosts or does not answer, jobs are not accepted. They are not left out of the counts, and none of which
/// each try was refused runs.
fn unserved_without_store(event: DayEvent) {
    let counts = counts_without_store(event);
    assert!(counts.refused + counts.not_accepted > 0, "{counts}");
    assert_eq!(counts.open, 0, "{counts}");
}

sandshelf_cases::cases! {
    completed_at_its_objective => assert_eq!(outcome(JobEnd::Completed(3_000), 30_000), JobOutcome::InTime);
    completed_after_its_objective => assert_eq!(outcome(JobEnd::Completed(3_001), 30_000), JobOutcome::Late);
    completed_when_last_of_use => assert_eq!(outcome(JobEnd::Completed(7_000), 30_000), JobOutcome::Late);
    completed_when_of_no_use => assert_eq!(outcome(JobEnd::Completed(7_001), 30_000), JobOutcome::NeverInTime);
    not_completed_while_of_use => assert_eq!(outcome(JobEnd::None, 7_000), JobOutcome::Open);
    not_completed_when_of_no_use => assert_eq!(outcome(JobEnd::None, 7_001), JobOutcome::NeverInTime);
    given_up => assert_eq!(outcome(JobEnd::Failed, 30_000), JobOutcome::Failed);
    cancelled_by_its_caller => assert_eq!(outcome(JobEnd::Cancelled, 30_000), JobOutcome::Cancelled);
    refused_in_each_try => assert_eq!(unaccepted(SubmissionEnd::Refused), JobOutcome::Refused);
    accepted_by_no_host => assert_eq!(unaccepted(SubmissionEnd::NotAccepted), JobOutcome::NotAccepted);
    all_jobs_are_counted => assert_eq!(ten_jobs().all, counts(7, 2, 1));
    the_largest_tenth_is_counted => assert_eq!(ten_jobs().largest, counts(0, 0, 1));
    the_fifth_below_it_is_counted => assert_eq!(ten_jobs().next_largest, counts(0, 2, 0));
    share_counts_only_decided_jobs => share_without_undecided_jobs();
    standing_time_is_shared_out => standing_shares();
    objectives_follow_from_true_times => objective_from_true_times();
    the_store_refuses_all_hosts => unserved_without_store(
        DayEvent::StoreRefuses(HostChoice::All, 6_000));
    the_store_answers_no_host => unserved_without_store(DayEvent::StoreSilent(6_000));
    a_calm_day_serves_its_callers => calm_day_is_served();
}
