//! Jobs of many tasks: what is written of them, what a successor reads, and what other jobs get beside them.

mod large_job;
mod support;

use large_job::{JobOwner, LargeJob, JOB, OTHER_JOB, SMALL_JOB_TASKS};
use sandshelf_jobs::{JobNumber, RepeatRule};
use support::{job, step, WALL_START_MS};

/// Guards against one large job whose progress fits into no write: nothing was written any more, and no job went on.
fn other_jobs_go_on_beside(large: LargeJob) {
    let mut owner = JobOwner::with_job(&large);
    owner.run(large.tasks() * 3 / 4);
    owner.hand_in_other();
    owner.play_until(|owner| owner.acknowledged(OTHER_JOB) == SMALL_JOB_TASKS);
    owner.run_to_end();
}

/// Guards against a successor that knows less than was acknowledged, whichever write was the last: it would start done tasks again.
fn successors_know_what_was_acknowledged(large: LargeJob) {
    let mut owner = JobOwner::with_job(&large);
    while !owner.is_completed(JOB) {
        owner.run(large.tasks() / 40);
        owner = owner.succeeded();
    }
    assert_eq!(owner.begun_again(), 0);
}

/// Guards against rows of an ended job that outlive it: a later job of the same number would find its tasks done.
fn nothing_is_left_of_a_removed_job(large: LargeJob) {
    let mut owner = JobOwner::with_job(&large);
    owner.run_to_end();
    for _ in 0..20 {
        owner.write_once();
        owner = owner.succeeded();
    }
    owner.outlive_job();
    assert_eq!(owner.stored_rows_of(JOB), 0);
}

/// Guards against jobs that are handed to an owner of this version by one that wrote all tasks into the job's row.
fn progress_in_one_row_is_taken_over(large: LargeJob) {
    let mut owner = JobOwner::with_job(&large);
    owner.run(large.tasks() / 2);
    owner.gather_pages_in_row();
    owner = owner.succeeded();
    while !owner.is_completed(JOB) {
        owner.run(large.tasks() / 10);
        owner = owner.succeeded();
    }
    assert_eq!(owner.begun_again(), 0);
}

/// Guards against the whole of a job being written with each change: the bytes grew with the square of its tasks.
fn bytes_grow_with_the_tasks() {
    let bytes_per_task = [2_000, 32_000].map(|tasks| {
        let large = LargeJob::of(job(vec![step(tasks / 4); 4]));
        let mut owner = JobOwner::with_job(&large);
        owner.run_to_end();
        owner.written_bytes() / tasks as usize
    });
    let [of_few, of_many] = bytes_per_task;
    assert!(of_many <= of_few * 2, "{of_few} and {of_many} bytes a task");
}

/// Guards against an owner that runs out of memory since a repeated job has all its tasks open at once.
fn open_repetitions_are_bounded() {
    let mut spec = job(vec![step(5_000)]);
    spec.repeat = Some(RepeatRule {
        count: 100_000,
        first_due_ms: WALL_START_MS,
        interval_ms: 0,
    });
    let mut owner = JobOwner::with_job(&LargeJob::of(spec));
    owner.run(20_000);
    let open = owner.open_tasks();
    assert!((100_000..=200_000).contains(&open), "{open} open tasks");
    owner = owner.succeeded();
    owner.run(20_000);
    assert_eq!(owner.begun_again(), 0);
}

/// Guards against jobs that are accepted although no owner could keep them.
fn tasks_of_a_job_are_bounded(steps: usize, accepted: bool) {
    let spec = job(vec![step(10_000); steps]);
    assert_eq!(spec.check().is_ok(), accepted);
}

fn four_steps(tasks: u32) -> LargeJob {
    LargeJob::of(job(vec![step(tasks); 4]))
}

fn chain(tasks: u32) -> LargeJob {
    let mut steps = vec![step(tasks); 3];
    steps[1].after = vec![0];
    steps[2].after = vec![0, 1];
    LargeJob::of(job(steps))
}

fn gang(tasks: u32) -> LargeJob {
    let mut steps = vec![step(tasks), step(tasks)];
    steps[0].gang = true;
    steps[1].after = vec![0];
    LargeJob::of(job(steps))
}

fn overlapping_times(tasks: u32) -> LargeJob {
    let mut spec = job(vec![step(tasks)]);
    spec.repeat = Some(RepeatRule {
        count: 5,
        first_due_ms: WALL_START_MS,
        interval_ms: 0,
    });
    LargeJob::of(spec)
}

sandshelf_cases::cases! {
    other_jobs_beside_40000_tasks => other_jobs_go_on_beside(four_steps(10_000));
    other_jobs_beside_10000_tasks_with_checkpoints => other_jobs_go_on_beside(four_steps(2_500).with_checkpoints(16));
    other_jobs_beside_long_checkpoints => other_jobs_go_on_beside(four_steps(300).with_checkpoints(9_000));
    other_jobs_beside_escaped_checkpoints => other_jobs_go_on_beside(four_steps(60).with_checkpoint_text("\u{1}".repeat(20_000)));
    other_jobs_beside_failing_tasks => other_jobs_go_on_beside(four_steps(1_000).with_failures(2));
    other_jobs_beside_a_row_of_failing_tasks => other_jobs_go_on_beside(four_steps(30).with_failures(400));
    successors_of_a_large_job => successors_know_what_was_acknowledged(four_steps(3_000));
    successors_of_a_large_chain => successors_know_what_was_acknowledged(chain(1_500));
    successors_of_a_large_gang => successors_know_what_was_acknowledged(gang(300));
    successors_of_many_checkpoints => successors_know_what_was_acknowledged(chain(700).with_checkpoints(40));
    successors_of_failing_tasks => successors_know_what_was_acknowledged(chain(300).with_failures(2));
    successors_of_overlapping_times => successors_know_what_was_acknowledged(overlapping_times(400));
    rows_of_a_removed_job => nothing_is_left_of_a_removed_job(four_steps(2_000));
    rows_of_removed_repetitions => nothing_is_left_of_a_removed_job(overlapping_times(300));
    progress_in_one_row => progress_in_one_row_is_taken_over(chain(1_000));
    bytes_of_large_jobs => bytes_grow_with_the_tasks();
    memory_of_repeated_jobs => open_repetitions_are_bounded();
    tasks_within_the_bound => tasks_of_a_job_are_bounded(20, true);
    tasks_beyond_the_bound => tasks_of_a_job_are_bounded(21, false);
}

/// A repeated job of some tasks has the number of its row only.
#[test]
fn keys_of_pages_are_read_as_written() {
    let key = sandshelf_jobs::PageKey {
        job: JobNumber(JOB),
        time: 3,
        step: 250,
        page: 78,
    };
    assert_eq!(key.to_string().parse(), Ok(key));
    assert!(key.to_string().parse::<JobNumber>().is_err());
}
