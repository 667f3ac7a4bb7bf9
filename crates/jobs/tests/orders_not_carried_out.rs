//! Start orders that a worker that went down has never carried out.
//!
//! Guards against a sound task that is given up for crashes that it had no part in. Eight workers
//! went down at one moment and restarted. A standing task was lost with one of them and ordered
//! from the others, which had been up again for some time, although the owner had not yet heard of
//! that from a renewal. Each of these orders was refused by the new incarnation, but the report
//! that showed the restart came just before the refusal: the order counted as unanswered, and the
//! crash of the earlier incarnation was recorded under it. After three such orders, within three
//! milliseconds, the task had four crashes, and its job failed. The owner's log has a line
//! `crash_noted` and then a line `start_refused` for the same run, four times.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, JobNote, JobNumber, JobSpec, JobStage, OrderAnswer, ProgressRow,
    RefusalReason, RenewalReport, RunKey, StepSpec, TakeoverInfo, WorkerCall, WorkerIncarnation,
    WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{job, listing, step, SchedulerRig};

const WORKERS: u64 = 8;
/// The number of the job.
const JOB: u64 = 1;
/// The time from the death of an owner until the next one has read its state.
const TAKEOVER_MS: Millis = 1_900;
/// What the clock of a worker's first incarnation shows when the rig's shows 0; each restart adds
/// as much again.
const CLOCK_LEAD_MS: u64 = 3_600_000;
/// How long workers are down before they restart.
const DOWNTIME_MS: Millis = 750;
/// More crashes than any task is forgiven.
const MANY: u64 = 6;
/// How often a task that crashes its workers may be started.
const MOST_STARTS: u64 = 5;

/// An owner with workers that restart under their names, and one standing job.
struct RestartingFleet {
    rig: SchedulerRig,
    /// The written progress of the job.
    row: ProgressRow,
    roster: WorkerRoster,
    /// The current incarnation of each worker.
    incarnations: Vec<u64>,
}

fn standing_job(tasks: u32) -> JobSpec {
    let standing = StepSpec {
        standing: true,
        ..step(tasks)
    };
    job(vec![standing])
}

fn name(worker: u64) -> String {
    format!("w-{worker}")
}

fn number_of(worker: &str) -> u64 {
    let number = worker.trim_start_matches("w-");
    number.parse().expect("a worker's name ends in its number")
}

impl RestartingFleet {
    /// All workers have answered, and a standing job of `tasks` tasks was handed in and started.
    fn with_standing_tasks(tasks: u32) -> Self {
        let mut fleet = Self {
            rig: SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
            row: ProgressRow::default(),
            roster: WorkerRoster::default(),
            incarnations: vec![1; WORKERS as usize + 1],
        };
        fleet.list();
        for worker in 1..=WORKERS {
            fleet.report(worker);
        }
        fleet.commit();
        fleet.rig.hand_in(JOB, 1, standing_job(tasks));
        fleet.rig.advance(50);
        fleet.commit();
        fleet
    }

    fn list(&mut self) {
        let entries = (1..=WORKERS).map(|worker| self.entry(worker));
        let entries = entries.collect();
        self.rig.list_entries(entries);
    }

    fn list_without_capacity(&mut self) {
        let entries = (1..=WORKERS).map(|worker| WorkerListing {
            capacity: ResourceSize::default(),
            ..self.entry(worker)
        });
        let entries = entries.collect();
        self.rig.list_entries(entries);
    }

    fn entry(&self, worker: u64) -> WorkerListing {
        WorkerListing {
            incarnation: Some(WorkerIncarnation(self.incarnations[worker as usize])),
            ..listing(&name(worker))
        }
    }

    fn clock(&self, worker: u64) -> u64 {
        self.rig.now + CLOCK_LEAD_MS * self.incarnations[worker as usize]
    }

    /// A worker's current incarnation answers the renewal in flight and lists nothing.
    fn report(&mut self, worker: u64) {
        let report = RenewalReport {
            incarnation: Some(WorkerIncarnation(self.incarnations[worker as usize])),
            carrier_late_ms: 0,
            clock: self.clock(worker),
            running: Vec::new(),
            ended: Vec::new(),
        };
        self.rig.answer_renewal(&name(worker), report);
    }

    /// A worker goes down and restarts, and nobody knows of it yet.
    fn restart(&mut self, worker: u64) {
        self.incarnations[worker as usize] += 1;
    }

    /// All that the owner wants to write becomes durable at once.
    fn commit(&mut self) {
        while let Some(batch) = self.rig.take_commit() {
            let mut rows = batch.progress.into_iter();
            if let Some((_, row)) = rows.find(|(number, _)| *number == JobNumber(JOB)) {
                self.row = row;
            }
            if let Some(roster) = batch.roster {
                self.roster = roster;
            }
            self.rig.handle(JobEvent::Committed(batch.id));
        }
    }

    /// The owner dies, and another one takes over a job of one task.
    fn replace_owner(&mut self) {
        let now = self.rig.now + TAKEOVER_MS;
        let info = TakeoverInfo {
            epoch: 2,
            claimed_at: now,
            claim_version: 1,
            rules_since: 1,
            progress: [(JobNumber(JOB), self.row.clone())].into(),
            roster: self.roster.clone(),
            store_ms: now,
            ..TakeoverInfo::default()
        };
        self.rig = SchedulerRig::new(info);
        self.rig.now = now;
        self.rig.hand_in(JOB, 1, standing_job(1));
        self.list();
    }

    /// Takes the start orders that were sent: the worker of each, and its run.
    fn take_starts(&mut self) -> Vec<(u64, RunKey)> {
        let starts = self.rig.peek_starts();
        self.discard_calls(|call| matches!(call, WorkerCall::Start(_)));
        let starts = starts.into_iter();
        starts
            .map(|(worker, start)| (number_of(&worker), start.key))
            .collect()
    }

    /// Advances until a start order is sent, and takes it; none if the task is given up.
    fn try_next_start(&mut self) -> Option<(u64, RunKey)> {
        for _ in 0..400 {
            self.commit();
            if let Some(start) = self.take_starts().into_iter().next() {
                return Some(start);
            }
            if self.is_given_up() {
                return None;
            }
            self.rig.advance(25);
            self.answer_stops();
            self.answer_renewals();
        }
        panic!("no start order was sent");
    }

    /// As before, for a task that must not be given up.
    fn next_start(&mut self) -> (u64, RunKey) {
        let start = self.try_next_start();
        start.expect("a sound task was given up")
    }

    /// Workers carry out the stop orders that were sent.
    fn answer_stops(&mut self) {
        let stops = self.rig.stops();
        self.discard_calls(|call| matches!(call, WorkerCall::Stop(_)));
        for (worker, run) in stops {
            let clock = self.clock(number_of(&worker));
            let worker = WorkerId::from(worker.as_str());
            let done = OrderAnswer::Done(clock);
            self.rig.handle(JobEvent::StopAnswered(worker, run, done));
        }
    }

    /// Workers answer the renewals that were sent, and list no run.
    fn answer_renewals(&mut self) {
        let is_renewal = |call: &WorkerCall| matches!(call, WorkerCall::Renew(_));
        let renewals = self.rig.actions.iter().filter_map(|action| match action {
            JobAction::Call { worker, call, .. } if is_renewal(call) => {
                Some(number_of(worker.as_str()))
            }
            _ => None,
        });
        let renewed: Vec<u64> = renewals.collect();
        self.discard_calls(is_renewal);
        for worker in renewed {
            self.report(worker);
        }
    }

    /// Removes calls of one kind from the actions.
    fn discard_calls(&mut self, of_kind: impl Fn(&WorkerCall) -> bool) {
        self.rig
            .actions
            .retain(|action| !matches!(action, JobAction::Call { call, .. } if of_kind(call)));
    }

    /// A worker answers a start order.
    fn answer_start(&mut self, worker: u64, run: RunKey, answer: OrderAnswer) {
        self.rig.start_answered(&name(worker), run, answer);
    }

    fn accept(&mut self, worker: u64, run: RunKey) {
        let clock = self.clock(worker);
        self.answer_start(worker, run, OrderAnswer::Done(clock));
    }

    /// A worker refuses a start order because its deadline is past on the worker's clock.
    fn refuse_as_late(&mut self, worker: u64, run: RunKey) {
        let clock = self.clock(worker);
        let refused = OrderAnswer::Refused(clock, RefusalReason::Late);
        self.answer_start(worker, run, refused);
    }

    fn is_given_up(&self) -> bool {
        let given_up =
            |action: &JobAction| matches!(action, JobAction::Note(JobNote::TaskGivenUp { .. }));
        self.rig.actions.iter().any(given_up)
    }

    /// The runs under which a crash was recorded.
    fn crash_notes(&self) -> Vec<RunKey> {
        let notes = self.rig.actions.iter().filter_map(|action| match action {
            JobAction::Note(JobNote::CrashNoted { key, .. }) => Some(*key),
            _ => None,
        });
        notes.collect()
    }

    fn assert_runs_on(&mut self) {
        assert!(!self.is_given_up(), "a sound task was given up");
        self.rig.advance(1_000);
        self.commit();
        assert_ne!(self.row.stage, JobStage::Failed);
    }
}

/// Eight workers go down at one moment, four of them with a standing task that has just begun, and
/// all restart. Reports of the restarts come one after the other, each between two orders that the
/// new incarnation refuses.
fn orders_between_the_reports_of_a_mass_restart() {
    let mut fleet = RestartingFleet::with_standing_tasks(4);
    let mut busy = Vec::new();
    for (worker, run) in fleet.take_starts() {
        fleet.accept(worker, run);
        busy.push(worker);
    }
    for _ in 0..3 {
        for worker in 1..=WORKERS {
            fleet.rig.fail_renewal(&name(worker));
        }
        fleet.rig.advance(DOWNTIME_MS / 3);
    }
    for worker in 1..=WORKERS {
        fleet.restart(worker);
    }
    fleet.report(busy[0]);
    for _ in 0..MANY {
        fleet.commit();
        fleet.rig.advance(25);
        let Some((worker, run)) = fleet.take_starts().into_iter().next() else {
            break;
        };
        fleet.refuse_as_late(worker, run);
        fleet.rig.advance(25);
        for (again, run) in fleet.take_starts() {
            fleet.report(again);
            fleet.refuse_as_late(again, run);
        }
        assert!(!fleet.is_given_up(), "a sound task was given up");
    }
    fleet.assert_runs_on();
}

/// A worker restarts without any sign of it. The report that shows it comes while the first order
/// to the new incarnation has not been answered; then the worker refuses the order.
fn an_order_refused_after_the_report_of_the_restart() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    for _ in 0..MANY {
        let (worker, run) = fleet.next_start();
        fleet.restart(worker);
        fleet.report(worker);
        fleet.refuse_as_late(worker, run);
    }
    fleet.assert_runs_on();
}

/// Three workers have crashed under the task. The fourth order is refused after the report of a
/// restart: the task is given up only once the answers to what was under way are in.
fn an_order_refused_after_three_crashes() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    for _ in 0..3 {
        let (worker, run) = fleet.next_start();
        fleet.accept(worker, run);
        fleet.restart(worker);
        fleet.report(worker);
    }
    let (worker, run) = fleet.next_start();
    fleet.restart(worker);
    fleet.report(worker);
    assert_eq!(fleet.crash_notes().len(), 4);
    fleet.refuse_as_late(worker, run);
    fleet.next_start();
    fleet.assert_runs_on();
}

/// As before, but the new incarnation carries the order out: the recorded crash is withdrawn.
fn an_order_carried_out_by_the_next_incarnation() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    let (worker, run) = fleet.next_start();
    fleet.restart(worker);
    fleet.report(worker);
    assert_eq!(fleet.crash_notes(), vec![run], "it may have crashed it");
    fleet.accept(worker, run);
    fleet.rig.advance(300);
    fleet.commit();
    assert_eq!(fleet.row.tasks, Vec::new(), "the run began after the crash");
}

/// Workers are replaced, and the answer to the order shows it: another worker listens there.
fn an_order_answered_by_another_worker() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    for _ in 0..MANY {
        let (worker, run) = fleet.next_start();
        fleet.answer_start(worker, run, OrderAnswer::Replaced);
        assert_eq!(fleet.crash_notes(), Vec::new(), "nothing began there");
        fleet.list();
        fleet.rig.advance(25);
        fleet.report(worker);
    }
    fleet.assert_runs_on();
}

/// Orders that were never sent, or that the worker turned away unread, come back after the report
/// of a restart.
fn an_order_turned_away(answer: OrderAnswer) {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    for _ in 0..MANY {
        let (worker, run) = fleet.next_start();
        fleet.restart(worker);
        fleet.report(worker);
        fleet.answer_start(worker, run, answer);
    }
    fleet.assert_runs_on();
}

/// A worker has failed a renewal before the order is sent, and restarts. The order is never
/// answered: the worker was most likely down already.
fn an_order_after_a_failed_renewal() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    fleet.take_starts();
    for worker in 1..=WORKERS {
        fleet.rig.fail_renewal(&name(worker));
    }
    fleet.rig.hand_in(2, 2, job(vec![step(1)]));
    fleet.rig.advance(25);
    let (worker, run) = fleet.next_start();
    fleet.answer_start(worker, run, OrderAnswer::Unknown);
    fleet.restart(worker);
    fleet.rig.advance(250);
    fleet.report(worker);
    assert!(!fleet.crash_notes().contains(&run), "the worker was down");
}

/// A task that takes its worker down before the order is answered still counts as a crash, each
/// time, and is given up.
fn a_crash_before_the_answer_counts() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    let mut starts = 0;
    while let Some((worker, run)) = fleet.try_next_start() {
        starts += 1;
        assert!(starts <= MOST_STARTS, "it was started {starts} times");
        fleet.rig.advance(1);
        fleet.rig.fail_renewal(&name(worker));
        fleet.answer_start(worker, run, OrderAnswer::Unknown);
        fleet.restart(worker);
        fleet.rig.advance(300);
        fleet.report(worker);
        assert!(fleet.crash_notes().contains(&run), "start {starts}");
    }
}

/// The owner has ordered a start that the worker refused, and dies. Its successor finds the task
/// nowhere and another incarnation of that worker: no crash, since the task never began there.
fn a_refused_order_of_an_earlier_owner() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    let (worker, run) = fleet.next_start();
    fleet.accept(worker, run);
    fleet.restart(worker);
    fleet.report(worker);
    assert_eq!(fleet.crash_notes(), vec![run], "a worker crashed under it");
    let (worker, run) = fleet.next_start();
    fleet.commit();
    fleet.restart(worker);
    fleet.refuse_as_late(worker, run);
    fleet.rig.advance(25);
    fleet.commit();
    fleet.replace_owner();
    fleet.next_start();
    assert_eq!(fleet.crash_notes(), Vec::new(), "it never began there");
}

/// The same where no worker has capacity left for the task, so that no newer start is written.
fn a_refused_order_without_another_worker() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    let (worker, run) = fleet.next_start();
    fleet.accept(worker, run);
    fleet.restart(worker);
    fleet.report(worker);
    let (worker, run) = fleet.next_start();
    fleet.commit();
    fleet.list_without_capacity();
    fleet.restart(worker);
    fleet.refuse_as_late(worker, run);
    fleet.rig.advance(300);
    fleet.commit();
    assert_eq!(fleet.take_starts(), Vec::new(), "no worker has capacity");
    fleet.replace_owner();
    fleet.next_start();
    assert_eq!(fleet.crash_notes(), Vec::new(), "it never began there");
}

/// A worker refuses an order, and its clock shows that another incarnation has answered. Until a
/// renewal shows which one that is, tasks are ordered from other workers.
fn no_orders_to_an_unknown_incarnation() {
    let mut fleet = RestartingFleet::with_standing_tasks(1);
    let (worker, run) = fleet.next_start();
    fleet.restart(worker);
    fleet.refuse_as_late(worker, run);
    fleet.rig.advance(25);
    let ordered = fleet.take_starts();
    let workers: Vec<u64> = ordered.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers.len(), 1, "the task is ordered again");
    assert!(!workers.contains(&worker), "from a worker that is known");
}

sandshelf_cases::cases! {
    not_ordered_from_an_unknown_incarnation => no_orders_to_an_unknown_incarnation();
    ordered_between_reports_of_a_mass_restart => orders_between_the_reports_of_a_mass_restart();
    refused_after_the_report => an_order_refused_after_the_report_of_the_restart();
    refused_after_three_crashes => an_order_refused_after_three_crashes();
    carried_out_by_the_next_incarnation => an_order_carried_out_by_the_next_incarnation();
    answered_by_another_worker => an_order_answered_by_another_worker();
    turned_away_as_unhealthy => an_order_turned_away(OrderAnswer::Unhealthy);
    turned_away_as_unreachable => an_order_turned_away(OrderAnswer::Unreachable);
    turned_away_as_not_sent => an_order_turned_away(OrderAnswer::NotSent);
    ordered_after_a_failed_renewal => an_order_after_a_failed_renewal();
    refused_order_without_another_worker => a_refused_order_without_another_worker();
    crash_before_the_answer_counts => a_crash_before_the_answer_counts();
    refused_order_of_an_earlier_owner => a_refused_order_of_an_earlier_owner();
}
