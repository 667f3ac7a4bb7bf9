//! Entries of workers that another writer has changed: they name no worker to use, and what runs there goes on.

mod support;

use std::collections::BTreeMap;

use sandshelf_jobs::{JobEvent, QueueRules, WorkerListing};
use sandshelf_model::WorkerId;
use support::{job, listing, rules, run_report, step, SchedulerRig};

fn list_beside_unreadable(rig: &mut SchedulerRig, unreadable: &[&str], readable: &[&str]) {
    let names = unreadable.iter().map(|name| WorkerId::from(*name));
    rig.handle(JobEvent::WorkersUnreadable(names.collect()));
    rig.list(readable);
}

fn starts_on(rig: &mut SchedulerRig, number: u64, tasks: u32) -> Vec<String> {
    rig.hand_in(number, 0, job(vec![step(tasks)]));
    rig.take_starts().into_iter().map(|start| start.0).collect()
}

/// From the list on in which an entry can't be read, nothing new goes there; the others hold.
fn nothing_new_goes_where_the_entry_cant_be_read() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    list_beside_unreadable(&mut rig, &["w-1"], &["w-2"]);
    let starts = starts_on(&mut rig, 1, 4);
    assert_eq!(starts, ["w-2"; 4]);
}

/// What runs there is held, and its lease prolonged, as long as the worker answers.
fn what_runs_there_goes_on() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let key = rig.take_starts()[0].1.key;
    rig.report("w-1", vec![run_report(key)], vec![]);
    let before = rig.deadlines_of("w-1").last().copied();
    for _ in 0..8 {
        list_beside_unreadable(&mut rig, &["w-1"], &[]);
        rig.advance(700);
        rig.report("w-1", vec![run_report(key)], vec![]);
    }
    assert!(rig.deadlines_of("w-1").last().copied() > before);
    assert!(rig.stops().is_empty());
}

/// With the first list in which its entry can be read again, it gets tasks again.
fn a_readable_entry_is_used_again() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    list_beside_unreadable(&mut rig, &["w-1"], &[]);
    assert!(starts_on(&mut rig, 1, 1).is_empty());
    rig.list(&["w-1"]);
    rig.advance(100);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A worker whose entry can't be read has not been replaced by whoever names its address.
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

/// An entry whose service no queue names is not even asked.
fn an_entry_of_an_unknown_service_is_not_called() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let queues: BTreeMap<String, QueueRules> = [("lots".to_owned(), rules())].into();
    rig.handle(JobEvent::QueuesChanged(queues));
    let strange = WorkerListing {
        service: "unheard-of".to_owned(),
        ..listing("w-2")
    };
    rig.list_entries(vec![listing("w-1"), strange.clone()]);
    assert!(rig.renewal_waits("w-2").is_empty());
    let known = WorkerListing {
        service: rules().service,
        ..strange
    };
    rig.list_entries(vec![listing("w-1"), known]);
    assert_eq!(rig.renewal_waits("w-2").len(), 1);
}

sandshelf_cases::cases! {
    unreadable => nothing_new_goes_where_the_entry_cant_be_read();
    unreadable_held => what_runs_there_goes_on();
    readable_again => a_readable_entry_is_used_again();
    unreadable_not_replaced => an_unreadable_entry_is_not_replaced();
    unknown_service => an_entry_of_an_unknown_service_is_not_called();
}
