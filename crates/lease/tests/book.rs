//! The task book: what counts once, and that reading it back comes to the same state.

use proptest::prelude::*;
use sandshelf_cases::cases;
use sandshelf_config::{JobKind, JobSpec, UrgencyLevel};
use sandshelf_lease::{
    decode_snapshot, encode_snapshot, JournalRecord, RecordEffect, RequeueCause, ShardState,
    TaskStage,
};
use sandshelf_model::{AttemptId, JobId, ResourceSize, TaskId, TeamId, WorkerId};

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::from("job"),
        index,
    }
}

fn attempt(index: u32, number: u32) -> AttemptId {
    AttemptId {
        task: task(index),
        number,
    }
}

fn added(tasks: u32) -> JournalRecord {
    JournalRecord::JobAdded {
        job: JobSpec {
            name: JobId::from("job"),
            kind: JobKind::Batch,
            team: TeamId::from("team"),
            family: "job".to_owned(),
            tasks,
            size: ResourceSize::new(1, 1, 0),
            urgency: UrgencyLevel::Normal,
            repeatable: true,
            checkpoint: true,
            run_ms: 1,
            program: String::new(),
        },
        tasks: (0..tasks).collect(),
    }
}

fn placed(index: u32, number: u32) -> JournalRecord {
    JournalRecord::Placed {
        attempt: attempt(index, number),
        worker: WorkerId::from(format!("w-{}", number % 3)),
    }
}

fn requeued(index: u32, number: u32) -> JournalRecord {
    JournalRecord::Requeued {
        attempt: attempt(index, number),
        cause: RequeueCause::Evicted,
        checkpoint: Some(format!("checkpoint-{number}")),
    }
}

fn finished(index: u32, number: u32) -> JournalRecord {
    JournalRecord::Finished {
        attempt: attempt(index, number),
        output: format!("out-{number}"),
    }
}

fn book_of(records: &[JournalRecord]) -> ShardState {
    let mut book = ShardState::default();
    for record in records {
        book.apply(record);
    }
    book
}

/// The finish of an attempt that was given up counts nothing, and the newer attempt's does.
fn finish_of_an_older_attempt() {
    let mut book = book_of(&[added(1), placed(0, 1), requeued(0, 1), placed(0, 2)]);
    assert_eq!(book.apply(&finished(0, 1)), RecordEffect::Stale);
    let stage = |book: &ShardState| book.task_state(&task(0)).map(|cell| cell.stage.clone());
    assert!(matches!(stage(&book), Some(TaskStage::Placed(_))));
    assert_eq!(book.stats.late_finishes, 1);
    assert_eq!(book.apply(&finished(0, 2)), RecordEffect::Applied);
    assert_eq!(stage(&book), Some(TaskStage::Finished("out-2".to_owned())));
    assert_eq!(book.apply(&finished(0, 2)), RecordEffect::Stale);
    assert_eq!(book.stats.finished, 1);
}

/// An eviction is recorded once; the next attempt begins at its checkpoint.
fn eviction_counts_once() {
    let mut book = book_of(&[added(1), placed(0, 1), requeued(0, 1)]);
    assert_eq!(book.apply(&requeued(0, 1)), RecordEffect::Stale);
    let cell = book.task_state(&task(0)).expect("it is known");
    assert_eq!(cell.checkpoint.as_deref(), Some("checkpoint-1"));
    assert_eq!(cell.evictions, 1);
}

/// A cancellation beats all but a finish.
fn cancellation_beats_all_but_a_finish() {
    let cancelled = JournalRecord::Cancelled {
        job: JobId::from("job"),
    };
    let mut book = book_of(&[added(3), placed(0, 1), placed(1, 1), finished(1, 1)]);
    assert_eq!(book.apply(&cancelled), RecordEffect::Applied);
    assert_eq!(book.apply(&finished(0, 1)), RecordEffect::Stale);
    let stages: Vec<TaskStage> = (0..3)
        .filter_map(|index| book.task_state(&task(index)).map(|cell| cell.stage.clone()))
        .collect();
    assert_eq!(stages[0], TaskStage::Cancelled);
    assert_eq!(stages[1], TaskStage::Finished("out-1".to_owned()));
    assert_eq!(stages[2], TaskStage::Cancelled);
    assert_eq!(book.placed_count(), 0);
}

fn any_record() -> impl Strategy<Value = JournalRecord> {
    prop_oneof![
        (0_u32..4, 1_u32..5).prop_map(|(index, number)| placed(index, number)),
        (0_u32..4, 1_u32..5).prop_map(|(index, number)| requeued(index, number)),
        (0_u32..4, 1_u32..5).prop_map(|(index, number)| finished(index, number)),
        (0_u32..4).prop_map(|index| JournalRecord::Failed {
            task: task(index),
            reason: "why".to_owned(),
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn snapshot_and_tail_come_to_the_same_state(
        records in proptest::collection::vec(any_record(), 0..60),
        cut in 0_usize..60,
    ) {
        let mut all = vec![added(4)];
        all.extend(records);
        let cut = cut.min(all.len());
        let snapshot = encode_snapshot(&book_of(&all[..cut]));
        let tail: Vec<(u64, Vec<JournalRecord>)> = all[cut..]
            .iter()
            .enumerate()
            .map(|(position, record)| (position as u64, vec![record.clone()]))
            .collect();
        let read = decode_snapshot(Some(&snapshot), &tail).expect("its own bytes");
        prop_assert_eq!(read, book_of(&all));
    }
}

cases! {
    older_attempts_finish_counts_nothing => finish_of_an_older_attempt();
    eviction_is_recorded_once => eviction_counts_once();
    cancellation_is_final => cancellation_beats_all_but_a_finish();
}
