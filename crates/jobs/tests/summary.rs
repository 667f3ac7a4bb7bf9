//! The summary of a job: counts and times for each step.

use sandshelf_jobs::{
    JobNote, JobNumber, JobStage, JobSummaries, LossCause, RunKey, RunOutcome, TaskKey,
};
use sandshelf_model::{Millis, WorkerId};

const JOB: JobNumber = JobNumber(7);

fn key(step: u32, index: u32, run: u64) -> RunKey {
    let task = TaskKey {
        job: JOB,
        time: 0,
        step,
        index,
    };
    RunKey { task, run }
}

fn placed(key: RunKey, waited_ms: Millis) -> JobNote {
    JobNote::Placed {
        key,
        worker: WorkerId::from("w-1"),
        queue: "lots".to_owned(),
        waited_ms,
        free_cpu: 0,
        resumed: false,
    }
}

fn ended(key: RunKey, worker: &str, outcome: RunOutcome) -> JobNote {
    JobNote::Ended {
        key,
        worker: WorkerId::from(worker),
        outcome,
    }
}

fn finished(took_ms: Millis) -> JobNote {
    JobNote::JobFinished {
        job: JOB,
        state: JobStage::Completed,
        queue: "lots".to_owned(),
        took_ms,
        objective_ms: 500,
    }
}

/// A job of two steps that lost time to a failed run, and then to a wait for free capacity.
fn summarises_each_step() {
    let mut summaries = JobSummaries::default();
    let events = [
        (1_010, placed(key(0, 0, 1), 10)),
        (1_020, placed(key(0, 1, 1), 20)),
        (1_200, ended(key(0, 0, 1), "w-1", RunOutcome::Failed)),
        (1_210, placed(key(0, 0, 2), 0)),
        (1_300, ended(key(0, 1, 1), "w-2", RunOutcome::Done)),
        (1_400, ended(key(0, 0, 2), "w-3", RunOutcome::Done)),
        (2_000, placed(key(1, 0, 1), 600)),
    ];
    for (now, note) in &events {
        assert_eq!(summaries.note(*now, note), None);
    }
    summaries.note(
        2_500,
        &JobNote::RunLost {
            key: key(1, 0, 1),
            worker: WorkerId::from("w-4"),
            cause: LossCause::LeaseOver,
            heard_ms: None,
        },
    );
    let summary = summaries.note(3_000, &finished(2_000));
    let expected = "0.0:runs=3,done=2,failed=1,stopped=0,lost=0,start=10..210ms,wait=20ms,end=400ms,last=w-3 \
                    0.1:runs=1,done=0,failed=0,stopped=0,lost=1,start=1000..1000ms,wait=600ms,end=0ms";
    assert_eq!(summary.as_deref(), Some(expected));
    assert_eq!(summaries.open_jobs(), 0);
}

/// A job that was cancelled before any task started has an empty summary.
fn summarises_a_job_without_starts() {
    let mut summaries = JobSummaries::default();
    assert_eq!(summaries.note(9, &finished(5)).as_deref(), Some(""));
}

/// The length of a summary is bounded, whatever the number of steps, repetitions and tasks of the job.
fn summary_length_is_bounded() {
    let mut summaries = JobSummaries::default();
    for step in 0..2_000 {
        for index in 0..20 {
            summaries.note(1_000_000, &placed(key(step, index, 1), 1_000_000));
            summaries.note(
                1_000_000,
                &ended(key(step, index, 1), "i-0123456789", RunOutcome::Done),
            );
        }
    }
    let summary = summaries
        .note(1_000_000, &finished(1_000_000))
        .expect("a summary");
    assert!(summary.len() < 32 * 150, "{} bytes", summary.len());
    assert!(
        summary.contains("runs=39380"),
        "further steps are counted in the last one"
    );
}

sandshelf_cases::cases! {
    each_step => summarises_each_step();
    no_starts => summarises_a_job_without_starts();
    bounded_length => summary_length_is_bounded();
}
