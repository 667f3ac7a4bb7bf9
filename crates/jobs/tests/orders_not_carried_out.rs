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

use sandshelf_jobs::OrderAnswer;
use sandshelf_model::Millis;
use support::restarting::{name, RestartingFleet, WORKERS};
use support::{job, step};

/// How long workers are down before they restart.
const DOWNTIME_MS: Millis = 750;
/// More crashes than any task is forgiven.
const MANY: u64 = 6;
/// How often a task that crashes its workers may be started.
const MOST_STARTS: u64 = 5;

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
