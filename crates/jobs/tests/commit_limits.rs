//! What one durable write of an owner holds stays within what the store takes, however many workers there are and however many
//! of them change at once.
//!
//! In a fleet of 6,002 workers, of which 45 % were replaced within seconds beside a slow store, the store refused a write of
//! more than 100 entries. An owner sends a refused write again unchanged until it loses the shard, and its successor finds the
//! same changes to write.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, OrderAnswer, RenewalAnswer, RenewalReport, RunOutcome, SilentWorkers,
    TakeoverInfo, WorkerCall, WorkerListing, WorkerRoster,
};
use sandshelf_model::{ResourceSize, WorkerId};
use support::write_size::{WriteSize, ENTRY_BYTES, OWNER_BYTES};
use support::{end_report, job, listing, run_report, step, SchedulerRig};

/// The owner of a fleet whose workers have all answered, and what it has made durable about them.
struct FleetOwner {
    rig: SchedulerRig,
    list: Vec<WorkerListing>,
    roster: WorkerRoster,
    silent: SilentWorkers,
}

fn fleet_listing(number: usize) -> WorkerListing {
    WorkerListing {
        worker: WorkerId::from(format!("i-{number:010x}").as_str()),
        address: ([10, 1, (number >> 8) as u8, number as u8], 8_000).into(),
        capacity: ResourceSize::new(16_000, 64_000, 0),
        ..listing("w-1")
    }
}

impl FleetOwner {
    fn new(workers: usize) -> Self {
        let mut owner = Self {
            rig: SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
            list: (0..workers).map(fleet_listing).collect(),
            roster: WorkerRoster::default(),
            silent: SilentWorkers::default(),
        };
        owner.rig.handle(JobEvent::StoreClock {
            at: 1_000,
            at_most_ms: 500_000,
        });
        owner.list();
        owner.answer_all();
        owner.write_all();
        owner
    }

    fn list(&mut self) {
        self.rig.list_entries(self.list.clone());
    }

    fn handle_all(&mut self, events: Vec<JobEvent>) {
        let actions = self.rig.scheduler.handle_all(self.rig.now, events);
        self.rig.actions.extend(actions);
    }

    /// Takes the pending lease renewals; returns the workers.
    fn take_renewals(&mut self) -> Vec<WorkerId> {
        let mut renewed = Vec::new();
        self.rig.actions.retain(|action| match action {
            JobAction::Call {
                worker,
                call: WorkerCall::Renew(_),
                ..
            } => {
                renewed.push(worker.clone());
                false
            }
            _ => true,
        });
        renewed
    }

    /// All workers answer their lease renewals; none has any run.
    fn answer_all(&mut self) {
        let report = RenewalReport {
            incarnation: None,
            carrier_late_ms: 0,
            clock: self.rig.now,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let answer =
            |worker| JobEvent::RenewalAnswered(worker, RenewalAnswer::Report(report.clone()));
        let answers = self.take_renewals().into_iter().map(answer).collect();
        self.handle_all(answers);
    }

    /// No worker answers its lease renewal, until all count as unresponsive.
    fn silence_all(&mut self) {
        for _ in 0..3 {
            self.rig.advance(700);
            let failed = |worker| {
                let answer = RenewalAnswer::Failed(OrderAnswer::Unknown);
                JobEvent::RenewalAnswered(worker, answer)
            };
            let failures = self.take_renewals().into_iter().map(failed).collect();
            self.handle_all(failures);
        }
    }

    /// Replaces this share of the workers, in percent, by new ones at other addresses.
    fn replace(&mut self, percent: usize) {
        let (before, gone) = (self.list.len(), self.list.len() * percent / 100);
        self.list.drain(..gone);
        self.list.extend((before..before + gone).map(fleet_listing));
        self.list();
    }

    /// Each of these jobs has a task on a worker, and the first tasks have ended.
    fn run_jobs(&mut self, jobs: std::ops::Range<u64>) {
        for number in jobs {
            self.rig.hand_in(number, 0, job(vec![step(2), step(1)]));
        }
        for (worker, start) in self.rig.take_starts() {
            let (ends, runs) = match start.key.task.index {
                0 => (vec![end_report(1, start.key, RunOutcome::Done)], vec![]),
                _ => (vec![], vec![run_report(start.key)]),
            };
            self.rig.report(&worker, runs, ends);
        }
    }

    /// Makes everything durable that the owner wants to write, and checks each write.
    fn write_all(&mut self) -> usize {
        let mut writes = 0;
        self.rig.advance(100);
        while let Some(batch) = self.rig.take_commit() {
            WriteSize::of(&batch).assert_taken();
            writes += 1;
            assert!(writes < 1_000, "the owner never ends to write");
            batch.roster.apply_to(&mut self.roster);
            batch.silent.apply_to(&mut self.silent);
            self.rig.handle(JobEvent::Committed(batch.id));
            self.rig.advance(50);
        }
        writes
    }

    /// The workers of the current list, in order.
    fn listed(&self) -> Vec<&WorkerId> {
        let mut listed: Vec<&WorkerId> = self.list.iter().map(|entry| &entry.worker).collect();
        listed.sort_unstable();
        listed
    }

    /// The workers in the durable roster, in order.
    fn rostered(&self) -> Vec<&WorkerId> {
        let mut rostered: Vec<&WorkerId> = self.roster.workers.iter().map(|(id, _)| id).collect();
        rostered.sort_unstable();
        rostered
    }
}

/// While one write is under way at a slow store, jobs progress, a share of the workers is replaced, and then the owner reaches
/// no worker any more.
fn changes_behind_a_slow_write_fit(workers: usize) {
    let mut owner = FleetOwner::new(workers);
    owner.run_jobs(0..300);
    owner.replace(45);
    owner.answer_all();
    owner.run_jobs(300..600);
    owner.silence_all();
    owner.write_all();
    assert!(owner.rig.scheduler.is_written());
    let rostered = owner.rostered();
    assert!(owner.listed().iter().all(|id| rostered.contains(id)));
    let recorded: Vec<&WorkerId> = owner.silent.over_at.keys().collect();
    assert_eq!(recorded, rostered, "each silent worker has its record");
}

/// A worker that comes or goes costs a write of its page, whatever the number of workers.
fn one_replacement_writes_little(workers: usize) {
    let mut owner = FleetOwner::new(workers);
    owner.list.remove(0);
    owner.list.push(fleet_listing(workers));
    owner.list();
    owner.rig.advance(100);
    let batch = owner.rig.take_commit().expect("a write");
    let size = WriteSize::of(&batch);
    let most = OWNER_BYTES + 2 * (ENTRY_BYTES + 10_000);
    assert!(size.bytes <= most, "{} bytes", size.bytes);
}

sandshelf_cases::cases! {
    fleet_of_6002 => changes_behind_a_slow_write_fit(6_002);
    fleet_of_17000 => changes_behind_a_slow_write_fit(17_000);
    replacement_among_6002 => one_replacement_writes_little(6_002);
    replacement_among_17000 => one_replacement_writes_little(17_000);
}
