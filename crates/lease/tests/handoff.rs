//! Hand-offs of tasks between shards: a task belongs to one shard at a time.

mod support;

use sandshelf_cases::cases;
use sandshelf_lease::{
    home_shard, JournalRecord, RecordEffect, ShardEvent, ShardNote, ShardState, TaskHandoff,
    TaskStage, TaskState,
};
use sandshelf_model::{JobId, ShardId, TaskId};
use support::cluster::SimulatedCluster;
use support::jobs::job;

fn handoff(hops: u32) -> TaskHandoff {
    TaskHandoff {
        job: job("moved", 1, 1_000),
        index: 0,
        state: TaskState {
            hops,
            ..TaskState::default()
        },
        revision: 1,
    }
}

fn moved() -> TaskId {
    TaskId {
        job: JobId::from("moved"),
        index: 0,
    }
}

/// An inbox entry that is read twice is adopted once, also where the task has been handed off in between.
fn entry_read_twice(handed_off: bool) {
    let mut shard_state = ShardState::default();
    let record = JournalRecord::Adopted {
        handoff: Box::new(handoff(1)),
    };
    assert_eq!(shard_state.apply(&record), RecordEffect::Applied);
    if handed_off {
        let handoff_record = JournalRecord::HandedOff {
            to: ShardId::from("elsewhere"),
            handoff: Box::new(handoff(2)),
        };
        assert_eq!(shard_state.apply(&handoff_record), RecordEffect::Applied);
    }
    let before = shard_state.task_state(&moved()).cloned();
    assert_eq!(shard_state.apply(&record), RecordEffect::Stale);
    assert_eq!(shard_state.task_state(&moved()).cloned(), before);
}

/// A task that returns after it was handed off is adopted again.
fn task_that_returns() {
    let mut shard_state = ShardState::default();
    let adopted = |hops| JournalRecord::Adopted {
        handoff: Box::new(handoff(hops)),
    };
    shard_state.apply(&adopted(1));
    shard_state.apply(&JournalRecord::HandedOff {
        to: ShardId::from("elsewhere"),
        handoff: Box::new(handoff(2)),
    });
    assert_eq!(shard_state.apply(&adopted(3)), RecordEffect::Applied);
    let stage = shard_state
        .task_state(&moved())
        .map(|task_state| task_state.stage.clone());
    assert_eq!(stage, Some(TaskStage::Waiting));
}

/// The late answer to an earlier read of the inbox is ignored: its entry may have been adopted and deleted since.
fn late_inbox_answer() {
    let mut cluster = SimulatedCluster::new(
        3,
        1,
        1,
        vec![job("plain", 1, 500), job("moved", 1, 600_000)],
    );
    let shard = cluster.shard_ids()[0].clone();
    cluster.run_until(5_000);
    let host = cluster.owner_of(&shard).expect("the shard has an owner");
    let before = cluster.owner(&host, &shard).counts().records;
    let late_answer = ShardEvent::InboxRead {
        read_number: 1,
        handoffs: vec![handoff(7)],
    };
    cluster.feed(&host, &shard, late_answer);
    cluster.run_until(8_000);
    assert_eq!(cluster.owner(&host, &shard).counts().records, before);
}

/// Tasks for which their home shard has no free capacity may be handed off to the other shard; each finishes once.
fn tasks_overflow_to_another_shard() {
    let shards: Vec<ShardId> = vec![ShardId::from("shard-0"), ShardId::from("shard-1")];
    let tasks = 60;
    let mut cluster = SimulatedCluster::new(5, 2, 2, vec![job("wide", tasks, 15_000)]);
    cluster.run_until(110_000);
    let name = JobId::from("wide");
    let mut handed_off = 0;
    for index in 0..tasks {
        let task = TaskId {
            job: name.clone(),
            index,
        };
        let stages = cluster.stages(&task);
        assert!(
            matches!(stages.as_slice(), [TaskStage::Finished(_)]),
            "{task}: {stages:?}"
        );
        let home = home_shard(&name, index, &shards).expect("there are shards");
        let task_state = cluster.durable_state(home).task_state(&task).cloned();
        handed_off += usize::from(
            task_state
                .is_some_and(|task_state| matches!(task_state.stage, TaskStage::HandedOff(_))),
        );
    }
    let finishes = cluster.count_notes(|note| matches!(note, ShardNote::Finished(_)));
    assert_eq!(finishes, tasks as usize);
    assert!(handed_off <= tasks as usize);
}

/// A job that fits on no worker is recorded as unplaceable, and doesn't delay other jobs.
fn job_that_fits_nowhere() {
    let mut giant = job("giant", 3, 1_000);
    giant.size = sandshelf_model::ResourceSize::new(1_000_000, 1, 0);
    let mut cluster = SimulatedCluster::new(7, 2, 2, vec![giant, job("plain", 4, 1_000)]);
    cluster.run_until(20_000);
    for index in 0..3 {
        let task = TaskId {
            job: JobId::from("giant"),
            index,
        };
        let stages = cluster.stages(&task);
        assert!(
            matches!(stages.as_slice(), [TaskStage::Unplaceable(_)]),
            "{stages:?}"
        );
    }
    let finishes = cluster.count_notes(|note| matches!(note, ShardNote::Finished(_)));
    assert_eq!(finishes, 4);
}

cases! {
    inbox_entry_is_adopted_once => entry_read_twice(false);
    inbox_entry_is_adopted_once_though_handed_off => entry_read_twice(true);
    task_may_return_to_a_shard => task_that_returns();
    late_inbox_answer_is_ignored => late_inbox_answer();
    overflow_tasks_finish_once => tasks_overflow_to_another_shard();
    unplaceable_job_is_recorded_at_once => job_that_fits_nowhere();
}
