//! Jobs whose queue gets another name, another address or other rules while they wait and run.

mod support;

use std::collections::BTreeMap;

use sandshelf_jobs::{
    JobEvent, JobSpec, JobStage, QueueAddress, QueueDirectory, QueueEntry, QueueRules, QueueTable,
    RunOutcome, TakeoverInfo,
};
use support::{end_report, job, lots, rules, second_owner, step, SchedulerRig};

const WORKER: &str = "w-1";
const JOB: u64 = 7;

fn moved() -> QueueAddress {
    QueueAddress::new("lots.example", "/moved/")
}

fn directory(queues: &[(&str, QueueAddress)], rules: &QueueRules) -> QueueDirectory {
    let entry = |(name, address): &(&str, QueueAddress)| QueueEntry {
        name: (*name).to_owned(),
        address: address.clone(),
        rules: rules.clone(),
    };
    QueueTable::new(1, 1_000, queues.iter().map(entry).collect()).directory()
}

/// A job as a host of an earlier version accepted it.
fn job_without_address() -> JobSpec {
    JobSpec {
        address: None,
        ..job(vec![step(1)])
    }
}

/// Guards against rules of the submission that stay in force for good once the queue has another name.
fn new_rules_reach_the_job(spec: JobSpec, queues: &[(&str, QueueAddress)], reached: bool) {
    let one_attempt = QueueRules {
        max_attempts: 1,
        ..rules()
    };
    let mut rig = SchedulerRig::with_workers(&[WORKER]);
    rig.hand_in(JOB, 0, spec);
    rig.handle(JobEvent::QueuesChanged(directory(queues, &one_attempt)));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.report(
        WORKER,
        vec![],
        vec![end_report(1, start.key, RunOutcome::Failed)],
    );
    rig.advance(100);
    let rows = rig
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress);
    let failed = rows
        .last()
        .is_some_and(|(_, row)| row.stage == JobStage::Failed);
    assert_eq!(failed, reached);
}

/// Guards against waiting jobs that are not counted at the address where callers ask for them.
fn waiting_jobs_are_counted(
    spec: JobSpec,
    queues: &[(&str, QueueAddress)],
    counts: &[(QueueAddress, u64)],
) {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.hand_in(JOB, 0, spec);
    rig.advance(700);
    rig.commit_all();
    rig.handle(JobEvent::QueuesChanged(directory(queues, &rules())));
    rig.advance(700);
    rig.commit_all();
    let wanted: BTreeMap<QueueAddress, u64> = counts.iter().cloned().collect();
    assert_eq!(rig.scheduler.pending_counts(), Some(&wanted));
}

/// Guards against a successor that reads the job's row and knows only the name of the submission.
fn successors_find_the_queue() {
    let mut rig = SchedulerRig::new(second_owner(&[WORKER]));
    let queues = [("lots-2", lots())];
    rig.handle(JobEvent::QueuesChanged(directory(&queues, &rules())));
    rig.hand_in(JOB, 50, job(vec![step(1)]));
    rig.list(&[WORKER]);
    rig.report(WORKER, vec![], vec![]);
    rig.advance(700);
    let counts = rig.scheduler.pending_counts().cloned();
    assert!(counts.is_some_and(|counts| counts.keys().all(|address| *address == lots())));
    rig.advance(100);
    let started = rig
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress);
    assert!(started.into_iter().all(|(_, row)| row.queue == "lots-2"));
}

sandshelf_cases::cases! {
    rules_of_another_name => new_rules_reach_the_job(job(vec![step(1)]), &[("lots-2", lots())], true);
    rules_of_another_address => new_rules_reach_the_job(job(vec![step(1)]), &[("lots", moved())], true);
    rules_of_the_address_before_those_of_the_name =>
        new_rules_reach_the_job(job(vec![step(1)]), &[("lots", moved()), ("lots-2", lots())], true);
    rules_of_a_job_of_an_earlier_version => new_rules_reach_the_job(job_without_address(), &[("lots", lots())], true);
    rules_of_an_unrelated_queue => new_rules_reach_the_job(job(vec![step(1)]), &[("other", moved())], false);
    counted_under_another_name => waiting_jobs_are_counted(job(vec![step(1)]), &[("lots-2", lots())], &[(lots(), 1)]);
    counted_at_another_address => waiting_jobs_are_counted(job(vec![step(1)]), &[("lots", moved())], &[(moved(), 1)]);
    counted_after_a_swap =>
        waiting_jobs_are_counted(job(vec![step(1)]), &[("lots", moved()), ("other", lots())], &[(lots(), 1)]);
    counted_without_an_address => waiting_jobs_are_counted(job_without_address(), &[("lots", lots())], &[(lots(), 1)]);
    counted_by_a_successor => successors_find_the_queue();
}
