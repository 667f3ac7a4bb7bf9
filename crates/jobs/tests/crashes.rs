//! Tasks that crash the workers that start them.
//!
//! What users saw: a worker went down every three seconds for each of two tasks, all that ran beside them was lost with it, and so it went on for two
//! minutes. The order of events: a task crashes its worker some milliseconds after it began; a worker that crashes lists no end of the run, and the
//! one that comes back in its place knows nothing of it; the owner notes the loss when it sees the replacement, and starts the task at once on the next
//! worker, as if it were new. The cause: only ends that a worker lists as failed counted as attempts, so that nothing bounded the starts of a task
//! whose worker could no longer list one. Evidence: the owner's log shows the runs of each task numbered in a row, one every 3.3 s, each as
//! `run_lost cause=replaced` on another worker and none as `task_ended`, under one owner, which started all of them.

mod support;

use sandshelf_jobs::{JobStage, StepSpec, TaskKey};
use sandshelf_model::Millis;
use support::crashing::{CrashingFleet, REPLACED_AFTER_MS};
use support::{job, step, task};

/// How long after its start the tasks of the incident crashed their workers, in milliseconds.
const CRASHES_AFTER_MS: Millis = 10;
/// A task under which three workers have crashed may be started twice more, no oftener.
const STARTS_AFTER_THREE: usize = 2;

/// Eight workers in whose place others come when they crash.
fn replaced() -> CrashingFleet {
    CrashingFleet::new(8)
}

/// Eight workers that start again under their names when they crash.
fn restarting(after: Millis) -> CrashingFleet {
    CrashingFleet::restarting(8, after)
}

/// How many workers stand where several go down at once, and how many do beside the one that matters.
const FLEET: usize = 32;
const HERD: usize = 6;

/// A job of six tasks whose first crashes its workers, and its crashing task.
fn hand_in_crasher(fleet: &mut CrashingFleet, number: u64, after: Millis) -> TaskKey {
    let crasher = task(number, 0, 0);
    fleet.hand_in(number, job(vec![step(6)]), &[(crasher, after)]);
    crasher
}

/// Ordinary jobs beside it, four a second.
fn pass_with_traffic(fleet: &mut CrashingFleet, numbers: std::ops::Range<u64>) {
    for number in numbers {
        fleet.hand_in(number, job(vec![step(4)]), &[]);
        fleet.advance(250);
    }
}

fn assert_given_up(fleet: &CrashingFleet, crasher: &TaskKey) {
    let starts = fleet.starts_after_three(crasher);
    let seen = &fleet.starts[crasher];
    assert!(
        starts <= STARTS_AFTER_THREE,
        "started {starts} times more: {seen:?}"
    );
    assert_eq!(fleet.stage(crasher.job.0), Some(JobStage::Failed));
}

/// The jobs of these numbers have all been done.
fn assert_done(fleet: &CrashingFleet, numbers: std::ops::Range<u64>) {
    for number in numbers {
        assert_eq!(
            fleet.stage(number),
            Some(JobStage::Completed),
            "job {number}"
        );
    }
}

/// One owner, and the task among ordinary ones.
fn one_owner_gives_it_up(mut fleet: CrashingFleet, after: Millis) {
    pass_with_traffic(&mut fleet, 100..110);
    let crasher = hand_in_crasher(&mut fleet, 7, after);
    pass_with_traffic(&mut fleet, 110..230);
    fleet.advance(6_000);
    assert_given_up(&fleet, &crasher);
    assert_done(&fleet, 100..230);
}

/// Each owner dies so long after it has started the task; the next knows what workers crashed under it before.
fn owners_in_turn_give_it_up(mut fleet: CrashingFleet, dies_after: Millis) {
    pass_with_traffic(&mut fleet, 100..110);
    let crasher = hand_in_crasher(&mut fleet, 7, CRASHES_AFTER_MS);
    for owner in 0..6 {
        let before = fleet.start_count(&crasher);
        let first = 110 + owner * 60;
        for number in first..first + 60 {
            pass_with_traffic(&mut fleet, number..number + 1);
            if fleet.start_count(&crasher) > before {
                break;
            }
        }
        fleet.advance(dies_after);
        fleet.replace_owner();
    }
    fleet.advance(30_000);
    assert_given_up(&fleet, &crasher);
}

/// A standing task that crashes its workers, beside standing ones that don't.
fn standing_crasher_is_given_up() {
    let mut fleet = CrashingFleet::new(8);
    let stands = StepSpec {
        standing: true,
        ..step(4)
    };
    fleet.hand_in(50, job(vec![stands.clone()]), &[]);
    let crasher = task(51, 0, 2);
    fleet.hand_in(51, job(vec![stands]), &[(crasher, CRASHES_AFTER_MS)]);
    pass_with_traffic(&mut fleet, 100..220);
    fleet.advance(6_000);
    assert_given_up(&fleet, &crasher);
    assert_eq!(fleet.stage(50), Some(JobStage::Running));
    assert_done(&fleet, 100..220);
}

/// Workers crash by themselves right after they began a sound task, again and again, but let it work for a while in between: it is never
/// given up, since each of its runs that is proven clears it.
fn a_task_that_is_proven_in_between_is_never_given_up() {
    let mut fleet = CrashingFleet::new(8);
    let stands = StepSpec {
        standing: true,
        ..step(1)
    };
    fleet.hand_in(50, job(vec![stands]), &[]);
    let unlucky = task(50, 0, 0);
    for crash in 0..12 {
        let before = fleet.start_count(&unlucky);
        while fleet.start_count(&unlucky) == before || fleet.place_of(&unlucky).is_none() {
            fleet.advance(25);
        }
        // Twice on end right after it began, then after it was at work.
        let at_work = if crash % 3 == 2 { 5_000 } else { 25 };
        fleet.advance(at_work);
        let place = fleet.place_of(&unlucky).expect("it is at work");
        fleet.crash_worker(place);
        fleet.advance(25);
    }
    fleet.advance(10_000);
    assert_eq!(fleet.stage(50), Some(JobStage::Running));
    assert!(fleet.place_of(&unlucky).is_some());
}

/// A worker crashes by itself, and orders go there until that is noticed: what they were to start was never there and starts
/// elsewhere as usual, and of several crashes so none counts.
fn orders_to_a_dead_worker_prove_nothing() {
    let mut fleet = CrashingFleet::new(2);
    let mut number = 100;
    for _ in 0..8 {
        fleet.advance(4_000);
        // Something has just begun on each worker, which explains why it is not heard any more.
        for _ in 0..2 {
            fleet.hand_in(number, job(vec![step(2)]), &[]);
            number += 1;
        }
        fleet.advance(25);
        fleet.crash_worker(1);
        fleet.hand_in(number, job(vec![step(4)]), &[]);
        number += 1;
        fleet.advance(500);
    }
    fleet.advance(20_000);
    assert_done(&fleet, 100..number);
}

/// A sound task has just begun each time that many workers go down at once: what brings down workers on which nothing is new has brought
/// down its worker as well, and it is never given up.
fn a_task_that_begins_before_herds_crash_is_never_given_up(mut fleet: CrashingFleet) {
    let stands = StepSpec {
        standing: true,
        ..step(1)
    };
    fleet.hand_in(50, job(vec![stands]), &[]);
    let unlucky = task(50, 0, 0);
    for _ in 0..8 {
        let before = fleet.start_count(&unlucky);
        while fleet.start_count(&unlucky) == before || fleet.place_of(&unlucky).is_none() {
            fleet.advance(25);
            assert_ne!(fleet.stage(50), Some(JobStage::Failed), "given up");
        }
        fleet.advance(50);
        let place = fleet.place_of(&unlucky).expect("it is at work");
        fleet.crash_others(Some(place), HERD);
        fleet.crash_worker(place);
        fleet.advance(25);
    }
    fleet.advance(10_000);
    assert_eq!(fleet.stage(50), Some(JobStage::Running));
}

/// A task that crashes its workers is given up also where others go down by themselves, several at once from time to time.
fn a_crashing_task_beside_herds_is_given_up(mut fleet: CrashingFleet) {
    let crasher = hand_in_crasher(&mut fleet, 7, CRASHES_AFTER_MS);
    for number in 100..180 {
        pass_with_traffic(&mut fleet, number..number + 1);
        if number % 20 == 13 {
            let busy = fleet.place_of(&crasher);
            fleet.crash_others(busy, HERD);
        }
    }
    fleet.advance(10_000);
    assert_given_up(&fleet, &crasher);
}

sandshelf_cases::cases! {
    proven_in_between => a_task_that_is_proven_in_between_is_never_given_up();
    orders_to_the_dead => orders_to_a_dead_worker_prove_nothing();
    begun_before_herds_crash => a_task_that_begins_before_herds_crash_is_never_given_up(CrashingFleet::new(FLEET));
    begun_before_herds_restart => a_task_that_begins_before_herds_crash_is_never_given_up(CrashingFleet::restarting(FLEET, 600));
    crashing_task_given_up_beside_herds => a_crashing_task_beside_herds_is_given_up(CrashingFleet::new(FLEET));
    crashing_task_given_up_beside_herds_that_restart => a_crashing_task_beside_herds_is_given_up(CrashingFleet::restarting(FLEET, 600));
    crashing_task_given_up => one_owner_gives_it_up(replaced(), CRASHES_AFTER_MS);
    standing_crashing_task_given_up => standing_crasher_is_given_up();
    crashing_task_given_up_by_successors => owners_in_turn_give_it_up(replaced(), REPLACED_AFTER_MS + 1_000);
    crashing_task_given_up_by_owners_that_see_nothing => owners_in_turn_give_it_up(replaced(), 500);
    crashing_task_given_up_by_owners_that_see_silence => owners_in_turn_give_it_up(replaced(), 2_000);
    crashing_task_given_up_late_after_its_start => one_owner_gives_it_up(replaced(), 400);
    crashing_task_given_up_seconds_after_its_start => one_owner_gives_it_up(replaced(), 900);
    crashing_task_given_up_on_workers_that_restart => one_owner_gives_it_up(restarting(600), CRASHES_AFTER_MS);
    crashing_task_given_up_on_workers_that_restart_late => one_owner_gives_it_up(restarting(6_000), CRASHES_AFTER_MS);
    crashing_task_given_up_late_on_workers_that_restart => one_owner_gives_it_up(restarting(600), 400);
    crashing_task_given_up_by_successors_on_workers_that_restart => owners_in_turn_give_it_up(restarting(600), 1_500);
    crashing_task_given_up_unseen_on_workers_that_restart => owners_in_turn_give_it_up(restarting(600), 300);
    crashing_task_given_up_silent_on_workers_that_restart => owners_in_turn_give_it_up(restarting(3_300), 2_000);
}
