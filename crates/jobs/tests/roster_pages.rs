//! The pages of the roster at the first start of a large deployment.

mod support;

use std::collections::BTreeSet;

use sandshelf_jobs::{
    JobAction, JobEvent, RenewalAnswer, RenewalReport, TakeoverInfo, WorkerCall, WorkerIncarnation,
    WorkerListing,
};
use sandshelf_model::{Millis, WorkerId};
use support::{listing, SchedulerRig};

const WORKERS: usize = 6_000;
/// The time in which the workers answer for the first time, and how long a write takes.
const FIRST_ANSWERS_MS: Millis = 1_500;
const WRITE_MS: Millis = 15;
/// A commit holds 48 of the 128 pages: three hold all, and one more is allowed.
const MAX_COMMITS: usize = 4;

fn first_answer(worker: WorkerId, at: Millis) -> JobEvent {
    let report = RenewalReport {
        incarnation: Some(WorkerIncarnation(1)),
        carrier_late_ms: 0,
        clock: at,
        running: vec![],
        ended: vec![],
    };
    JobEvent::RenewalAnswered(worker, RenewalAnswer::Report(report))
}

/// Guards against workers that get no tasks because pages with lower numbers change again and again: each first answer changes a page.
fn each_page_has_its_turn() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.defers_roster = true;
    let entries = (1..=WORKERS).map(|number| WorkerListing {
        worker: WorkerId::from(format!("w-{number}")),
        ..listing("w-1")
    });
    rig.list_entries(entries.collect());
    let mut named: BTreeSet<WorkerId> = BTreeSet::new();
    let mut due: Vec<(Millis, JobEvent)> = Vec::new();
    let (mut commits, mut answers) = (0, 0);
    while named.len() < WORKERS {
        for action in std::mem::take(&mut rig.actions) {
            match action {
                JobAction::Commit(batch) => {
                    commits += 1;
                    let pages = batch.roster.pages.values();
                    named.extend(
                        pages.flat_map(|page| page.workers.iter().map(|(id, _)| id.clone())),
                    );
                    due.push((rig.now + WRITE_MS, JobEvent::Committed(batch.id)));
                }
                JobAction::Call {
                    worker,
                    call: WorkerCall::Renew(renewal),
                    ..
                } => {
                    answers += 1;
                    let at = rig.now + renewal.wait_ms + answers * 7_919 % FIRST_ANSWERS_MS;
                    due.push((at, first_answer(worker, at)));
                }
                _ => {}
            }
        }
        let named_count = named.len();
        assert!(
            commits <= MAX_COMMITS,
            "{named_count} of {WORKERS} workers named after {commits} commits, at {} ms",
            rig.now - 1_000
        );
        rig.now += 25;
        let (ready, later): (Vec<_>, Vec<_>) = due.drain(..).partition(|(at, _)| *at <= rig.now);
        due = later;
        let tick = JobEvent::Tick {
            wall_ms: 1_000_000 + rig.now,
        };
        let events = ready.into_iter().map(|(_, event)| event).chain([tick]);
        rig.actions = rig.scheduler.handle_all(rig.now, events);
    }
}

sandshelf_cases::cases! {
    first_answers_of_a_large_deployment => each_page_has_its_turn();
}
