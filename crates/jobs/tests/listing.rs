//! Worker entries that can't be read, since another writer has changed them: such a worker gets no
//! new tasks, and its runs continue.

mod support;

use sandshelf_jobs::{JobEvent, QueueEntry, QueueTable, WorkerListing};
use sandshelf_model::WorkerId;
use support::{job, listing, lots, rules, run_report, step, SchedulerRig};

fn list_with_unreadable(rig: &mut SchedulerRig, unreadable: &[&str], readable: &[&str]) {
    let names = unreadable.iter().map(|name| WorkerId::from(*name));
    rig.handle(JobEvent::WorkersUnreadable(names.collect()));
    rig.list(readable);
}

fn starts_on(rig: &mut SchedulerRig, number: u64, tasks: u32) -> Vec<String> {
    rig.hand_in(number, 0, job(vec![step(tasks)]));
    rig.take_starts().into_iter().map(|start| start.0).collect()
}

/// A worker gets no new tasks from the first list with an unreadable entry on; the other workers
/// do.
fn a_worker_with_an_unreadable_entry_gets_no_tasks() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    list_with_unreadable(&mut rig, &["w-1"], &["w-2"]);
    let starts = starts_on(&mut rig, 1, 4);
    assert_eq!(starts, ["w-2"; 4]);
}

/// Runs on such a worker continue, and its lease is renewed, while the worker answers.
fn runs_on_an_unreadable_worker_continue() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let key = rig.take_starts()[0].1.key;
    rig.report("w-1", vec![run_report(key)], vec![]);
    let before = rig.deadlines_of("w-1").last().copied();
    for _ in 0..8 {
        list_with_unreadable(&mut rig, &["w-1"], &[]);
        rig.advance(700);
        rig.report("w-1", vec![run_report(key)], vec![]);
    }
    assert!(rig.deadlines_of("w-1").last().copied() > before);
    assert!(rig.stops().is_empty());
}

/// The worker gets tasks again with the first list in which its entry is readable.
fn a_worker_with_a_readable_entry_gets_tasks_again() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    list_with_unreadable(&mut rig, &["w-1"], &[]);
    assert!(starts_on(&mut rig, 1, 1).is_empty());
    rig.list(&["w-1"]);
    rig.advance(100);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A worker with an unreadable entry does not count as replaced when another worker is listed under
/// its address.
fn an_unreadable_entry_is_not_replaced() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let key = rig.take_starts()[0].1.key;
    rig.report("w-1", vec![run_report(key)], vec![]);
    rig.handle(JobEvent::WorkersUnreadable(vec![WorkerId::from("w-1")]));
    rig.list_entries(vec![WorkerListing {
        address: listing("w-1").address,
        ..listing("w-2")
    }]);
    assert!(rig.take_starts().is_empty(), "its task runs on");
}

/// A worker whose service no queue names is not called.
fn an_entry_of_an_unknown_service_is_not_called() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let queue = QueueEntry {
        name: "lots".to_owned(),
        address: lots(),
        rules: rules(),
    };
    let table = QueueTable::new(1, 1_000, vec![queue]);
    rig.handle(JobEvent::QueuesChanged(table.directory()));
    let unknown = WorkerListing {
        service: "unheard-of".to_owned(),
        ..listing("w-2")
    };
    rig.list_entries(vec![listing("w-1"), unknown.clone()]);
    assert!(rig.renewal_waits("w-2").is_empty());
    let known = WorkerListing {
        service: rules().service,
        ..unknown
    };
    rig.list_entries(vec![listing("w-1"), known]);
    assert_eq!(rig.renewal_waits("w-2").len(), 1);
}

sandshelf_cases::cases! {
    unreadable => a_worker_with_an_unreadable_entry_gets_no_tasks();
    unreadable_lease_renewed => runs_on_an_unreadable_worker_continue();
    readable_again => a_worker_with_a_readable_entry_gets_tasks_again();
    unreadable_not_replaced => an_unreadable_entry_is_not_replaced();
    unknown_service => an_entry_of_an_unknown_service_is_not_called();
}
