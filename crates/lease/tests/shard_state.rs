//! The durable state of a shard: stale records change nothing, and reading a snapshot and the journal restores the state.

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

fn job_added(tasks: u32) -> JournalRecord {
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

fn state_after(records: &[JournalRecord]) -> ShardState {
    let mut shard_state = ShardState::default();
    for record in records {
        shard_state.apply(record);
    }
    shard_state
}

/// The finish of a requeued attempt has no effect; the finish of its task's newer attempt is applied.
fn finish_of_an_older_attempt() {
    let mut shard_state = state_after(&[job_added(1), placed(0, 1), requeued(0, 1), placed(0, 2)]);
    assert_eq!(shard_state.apply(&finished(0, 1)), RecordEffect::Stale);
    let stage = |shard_state: &ShardState| {
        shard_state
            .task_state(&task(0))
            .map(|task_state| task_state.stage.clone())
    };
    assert!(matches!(stage(&shard_state), Some(TaskStage::Placed(_))));
    assert_eq!(shard_state.stats.late_finishes, 1);
    assert_eq!(shard_state.apply(&finished(0, 2)), RecordEffect::Applied);
    assert_eq!(
        stage(&shard_state),
        Some(TaskStage::Finished("out-2".to_owned()))
    );
    assert_eq!(shard_state.apply(&finished(0, 2)), RecordEffect::Stale);
    assert_eq!(shard_state.stats.finished, 1);
}

/// An eviction counts once, and its checkpoint is kept for the next attempt.
fn eviction_counts_once() {
    let mut shard_state = state_after(&[job_added(1), placed(0, 1), requeued(0, 1)]);
    assert_eq!(shard_state.apply(&requeued(0, 1)), RecordEffect::Stale);
    let task_state = shard_state.task_state(&task(0)).expect("the task is known");
    assert_eq!(task_state.checkpoint.as_deref(), Some("checkpoint-1"));
    assert_eq!(task_state.evictions, 1);
}

/// A cancellation ends all tasks but those that have finished; later finishes have no effect.
fn cancellation_keeps_finished_tasks() {
    let cancelled = JournalRecord::Cancelled {
        job: JobId::from("job"),
    };
    let mut shard_state = state_after(&[job_added(3), placed(0, 1), placed(1, 1), finished(1, 1)]);
    assert_eq!(shard_state.apply(&cancelled), RecordEffect::Applied);
    assert_eq!(shard_state.apply(&finished(0, 1)), RecordEffect::Stale);
    let stages: Vec<TaskStage> = (0..3)
        .filter_map(|index| {
            shard_state
                .task_state(&task(index))
                .map(|task_state| task_state.stage.clone())
        })
        .collect();
    assert_eq!(stages[0], TaskStage::Cancelled);
    assert_eq!(stages[1], TaskStage::Finished("out-1".to_owned()));
    assert_eq!(stages[2], TaskStage::Cancelled);
    assert_eq!(shard_state.placed_count(), 0);
}

/// Any of these records for four tasks with up to four attempts each; many are stale.
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
    fn snapshot_and_journal_tail_restore_the_state(
        records in proptest::collection::vec(any_record(), 0..60),
        split in 0_usize..60,
    ) {
        let mut all = vec![job_added(4)];
        all.extend(records);
        let split = split.min(all.len());
        let snapshot = encode_snapshot(&state_after(&all[..split]));
        let tail: Vec<(u64, Vec<JournalRecord>)> = all[split..]
            .iter()
            .enumerate()
            .map(|(position, record)| (position as u64, vec![record.clone()]))
            .collect();
        let read = decode_snapshot(Some(&snapshot), &tail).expect("the snapshot was just encoded");
        prop_assert_eq!(read, state_after(&all));
    }
}

cases! {
    finish_of_an_older_attempt_is_ignored => finish_of_an_older_attempt();
    eviction_is_recorded_once => eviction_counts_once();
    cancellation_is_final => cancellation_keeps_finished_tasks();
}
