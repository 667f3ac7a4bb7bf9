//! The decision on one submission, and after how long a refused caller should retry.

use sandshelf_cases::cases;
use sandshelf_jobs::admission::{
    retry_in_outage, retry_under_load, AdmissionDecision, AdmissionGate, HeardView, LoadView,
    OutageView, QueueLoad, RefusalCause, SubmissionView, FULL_SHARE_PERMILLE, MAX_VIEW_AGE_MS,
};
use sandshelf_jobs::relay::{decode_message, encode_message, OwnerNotice, RelayMessage};
use sandshelf_jobs::JobNumber;
use sandshelf_model::Millis;

const LARGE_WORK: u64 = 50_000;
const NUMBERS: std::ops::Range<u64> = 0..20_000;

/// A queue that admits a third of its jobs and a fifth of the large ones.
fn short_queue() -> QueueLoad {
    QueueLoad {
        queue: "q".to_owned(),
        short_of_capacity: true,
        waiting_jobs: 100,
        begun_jobs: 20,
        work_left: 400_000,
        work_per_s: 100_000,
        took_percent: 150,
        share_permille: 333,
        large_share_permille: 200,
        large_above: LARGE_WORK - 1,
        relief_ms: 1_400,
    }
}

fn view(queue: QueueLoad) -> LoadView {
    LoadView {
        epoch: 7,
        queues: vec![queue],
    }
}

fn submission(number: u64) -> SubmissionView<'static> {
    SubmissionView {
        number: JobNumber(number),
        queue: "q",
        work: 4_000,
        chain_ms: 1_000,
        objective_ms: 3_000,
        ends: true,
        left_ms: Some(3_000),
    }
}

fn heard(view: &LoadView) -> HeardView<'_> {
    HeardView {
        view,
        age_ms: 400,
        newest_epoch: 7,
    }
}

fn admits(view: &LoadView, job: &SubmissionView<'_>) -> bool {
    AdmissionGate.decide(Some(heard(view)), job) == AdmissionDecision::Admit
}

/// The share of jobs that are admitted, in thousandths.
fn admitted(
    view: &LoadView,
    change: impl Fn(SubmissionView<'static>) -> SubmissionView<'static>,
) -> u64 {
    let admitted = NUMBERS.filter(|number| admits(view, &change(submission(*number))));
    admitted.count() as u64 * 1_000 / NUMBERS.end
}

/// Guards against refusals by a view that no longer describes the load.
fn admits_all(change: fn(&mut HeardView<'_>)) {
    let view = view(short_queue());
    let mut heard = heard(&view);
    change(&mut heard);
    let refused = NUMBERS.filter(|number| {
        AdmissionGate.decide(Some(heard), &submission(*number)) != AdmissionDecision::Admit
    });
    assert_eq!(refused.count(), 0);
}

/// Guards against refusals of jobs that the load does not concern.
fn admits_all_such(
    queue: QueueLoad,
    change: fn(SubmissionView<'static>) -> SubmissionView<'static>,
) {
    assert_eq!(admitted(&view(queue), change), 1_000);
}

/// Guards against a share that differs from the published one.
fn admits_share(
    change: fn(SubmissionView<'static>) -> SubmissionView<'static>,
    expected: std::ops::Range<u64>,
) {
    let share = admitted(&view(short_queue()), change);
    assert!(expected.contains(&share), "{share}");
}

/// Guards against a caller that is refused after waiting although it was admitted before, which would make retries a lottery.
fn waiting_never_costs_admission() {
    let view = view(short_queue());
    let mut admitted_later = 0;
    for number in NUMBERS {
        let at = |left| {
            let left_ms = Some(left);
            admits(
                &view,
                &SubmissionView {
                    left_ms,
                    ..submission(number)
                },
            )
        };
        let answers = [3_000, 2_000, 1_000, 0].map(at);
        assert!(answers.is_sorted(), "{number}: {answers:?}");
        admitted_later += usize::from(!answers[0] && answers[3]);
    }
    assert!(admitted_later > 0);
}

/// Guards against admitting a job that can't end while it is of use.
fn refuses_hopeless_job() {
    let queue = QueueLoad {
        share_permille: FULL_SHARE_PERMILLE,
        large_share_permille: FULL_SHARE_PERMILLE,
        work_left: 2_000_000,
        ..short_queue()
    };
    let decision = AdmissionGate.decide(Some(heard(&view(queue))), &submission(1));
    let AdmissionDecision::Refuse { cause, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(cause, RefusalCause::TooLate);
}

/// Guards against a wait beyond the time that the caller has.
fn waits(relief_ms: Millis, left_ms: Option<Millis>, expected: Millis) {
    assert_eq!(retry_under_load(relief_ms, left_ms), expected);
}

/// Guards against the same wait for all callers in an outage, after which all of them return at once.
fn waits_in_outage(lasted_ms: Millis, left_ms: Option<Millis>, expected: Millis) {
    let outage = OutageView {
        lasted_ms,
        owner_is_served: false,
    };
    assert_eq!(retry_in_outage(&outage, left_ms), expected);
}

/// Guards against a wait where other hosts can take the request at once.
fn no_wait_beside_a_served_owner() {
    let outage = OutageView {
        lasted_ms: 4_000,
        owner_is_served: true,
    };
    assert_eq!(retry_in_outage(&outage, Some(2_500)), 0);
}

/// Guards against a view that does not arrive as it was sent.
fn view_survives_its_way() {
    let notice = OwnerNotice {
        epoch: 7,
        version: 1,
        sequence: 2,
        operator_version: 3,
        store_took_ms: 4,
        pending: None,
        load: Some(view(short_queue())),
    };
    let message = RelayMessage::Renewed(notice);
    assert_eq!(decode_message(&encode_message(&message)), Ok(message));
}

cases! {
    an_old_view_admits => admits_all(|heard| heard.age_ms = MAX_VIEW_AGE_MS + 1);
    a_view_of_another_owner_admits => admits_all(|heard| heard.newest_epoch = 8);
    free_capacity_admits => admits_all_such(
        QueueLoad { short_of_capacity: false, ..short_queue() }, |job| job);
    a_full_share_admits => admits_all_such(
        QueueLoad { share_permille: FULL_SHARE_PERMILLE, ..short_queue() }, |job| job);
    a_standing_job_is_admitted => admits_all_such(
        short_queue(), |job| SubmissionView { ends: false, ..job });
    a_job_of_another_queue_is_admitted => admits_all_such(
        short_queue(), |job| SubmissionView { queue: "r", ..job });
    a_first_attempt_gets_less_than_the_share => admits_share(|job| job, 256..276);
    an_unknown_deadline_counts_as_a_first_attempt => admits_share(
        |job| SubmissionView { left_ms: None, ..job }, 256..276);
    a_last_attempt_gets_the_share => admits_share(
        |job| SubmissionView { left_ms: Some(0), ..job }, 323..343);
    large_jobs_have_their_own_share => admits_share(
        |job| SubmissionView { left_ms: Some(0), work: LARGE_WORK, ..job }, 190..210);
    callers_that_waited_go_first => waiting_never_costs_admission();
    a_job_that_would_be_too_late => refuses_hopeless_job();
    the_wait_is_the_forecast => waits(1_400, Some(3_000), 2_000);
    the_wait_is_a_second_at_least => waits(0, Some(3_000), 1_000);
    the_wait_leaves_time_for_a_call => waits(5_000, Some(2_100), 1_000);
    the_last_second_has_no_wait => waits(5_000, Some(900), 0);
    an_unknown_deadline_waits_a_second => waits(5_000, None, 1_000);
    an_outage_has_begun => waits_in_outage(100, Some(2_900), 1_000);
    an_outage_lasts => waits_in_outage(1_800, Some(2_900), 2_000);
    less_time_left_returns_first => waits_in_outage(1_800, Some(1_900), 1_000);
    the_last_second_of_a_caller_in_an_outage => waits_in_outage(1_800, Some(1_000), 0);
    another_host_has_the_store => no_wait_beside_a_served_owner();
    a_notice_carries_the_view => view_survives_its_way();
}
