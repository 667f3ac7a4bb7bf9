//! A task that moves between shards belongs to one of them at a time.

mod support;

use sandshelf_cases::cases;
use sandshelf_lease::{
    home_shard, JournalRecord, RecordEffect, ShardEvent, ShardNote, ShardState, TaskHandoff,
    TaskStage, TaskState,
};
use sandshelf_model::{JobId, ShardId, TaskId};
use support::jobs::job;
use support::world::World;

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

/// An inbox entry that is read twice is taken in once, also after the task has been handed on.
fn entry_read_twice(handed_on: bool) {
    let mut book = ShardState::default();
    let record = JournalRecord::Adopted {
        handoff: Box::new(handoff(1)),
    };
    assert_eq!(book.apply(&record), RecordEffect::Applied);
    if handed_on {
        let on = JournalRecord::HandedOff {
            to: ShardId::from("elsewhere"),
            handoff: Box::new(handoff(2)),
        };
        assert_eq!(book.apply(&on), RecordEffect::Applied);
    }
    let before = book.task_state(&moved()).cloned();
    assert_eq!(book.apply(&record), RecordEffect::Stale);
    assert_eq!(book.task_state(&moved()).cloned(), before);
}

/// A task that comes back after it was handed on is taken in again.
fn task_that_comes_back() {
    let mut book = ShardState::default();
    let take = |hops| JournalRecord::Adopted {
        handoff: Box::new(handoff(hops)),
    };
    book.apply(&take(1));
    book.apply(&JournalRecord::HandedOff {
        to: ShardId::from("elsewhere"),
        handoff: Box::new(handoff(2)),
    });
    assert_eq!(book.apply(&take(3)), RecordEffect::Applied);
    let stage = book.task_state(&moved()).map(|cell| cell.stage.clone());
    assert_eq!(stage, Some(TaskStage::Waiting));
}

/// An answer to a read of the inbox from before the entry was taken is not acted on.
fn late_inbox_answer() {
    let mut world = World::new(
        3,
        1,
        1,
        vec![job("plain", 1, 500), job("moved", 1, 600_000)],
    );
    let shard = world.shard_ids()[0].clone();
    world.run_until(5_000);
    let host = world.owner_of(&shard).expect("the shard has an owner");
    let before = world.owner(&host, &shard).counts().records;
    let late = ShardEvent::InboxRead {
        read_number: 1,
        handoffs: vec![handoff(7)],
    };
    world.feed(&host, &shard, late);
    world.run_until(8_000);
    assert_eq!(world.owner(&host, &shard).counts().records, before);
}

/// Tasks that find no room in their own shard run in another, and each finishes once.
fn tasks_spill_to_a_shard_with_room() {
    let shards: Vec<ShardId> = vec![ShardId::from("shard-0"), ShardId::from("shard-1")];
    let tasks = 60;
    let mut world = World::new(5, 2, 2, vec![job("wide", tasks, 15_000)]);
    world.run_until(110_000);
    let name = JobId::from("wide");
    let mut away = 0;
    for index in 0..tasks {
        let task = TaskId {
            job: name.clone(),
            index,
        };
        let stages = world.stages(&task);
        assert!(
            matches!(stages.as_slice(), [TaskStage::Finished(_)]),
            "{task}: {stages:?}"
        );
        let home = home_shard(&name, index, &shards).expect("there are shards");
        let cell = world.durable(home).task_state(&task).cloned();
        away += usize::from(cell.is_some_and(|cell| matches!(cell.stage, TaskStage::HandedOff(_))));
    }
    let finishes = world.count_notes(|note| matches!(note, ShardNote::Finished(_)));
    assert_eq!(finishes, tasks as usize);
    assert!(away <= tasks as usize);
}

/// A job that fits nowhere is told so, and nothing waits behind it.
fn job_that_fits_nowhere() {
    let mut giant = job("giant", 3, 1_000);
    giant.size = sandshelf_model::ResourceSize::new(1_000_000, 1, 0);
    let mut world = World::new(7, 2, 2, vec![giant, job("plain", 4, 1_000)]);
    world.run_until(20_000);
    for index in 0..3 {
        let task = TaskId {
            job: JobId::from("giant"),
            index,
        };
        let stages = world.stages(&task);
        assert!(
            matches!(stages.as_slice(), [TaskStage::Unplaceable(_)]),
            "{stages:?}"
        );
    }
    let finishes = world.count_notes(|note| matches!(note, ShardNote::Finished(_)));
    assert_eq!(finishes, 4);
}

cases! {
    inbox_entry_is_taken_once => entry_read_twice(false);
    inbox_entry_is_taken_once_after_handing_on => entry_read_twice(true);
    task_may_come_back => task_that_comes_back();
    late_answer_is_not_acted_on => late_inbox_answer();
    spilled_tasks_finish_once => tasks_spill_to_a_shard_with_room();
    unplaceable_is_told_at_once => job_that_fits_nowhere();
}
