//! The pool never plans a worker past what it has, and its parts do what their names say.

use proptest::prelude::*;
use sandshelf_cases::cases;
use sandshelf_model::{AttemptId, JobId, ResourceSize, ServiceId, TaskId, TeamId, WorkerId};
use sandshelf_place::{
    FamilyHistory, LoadBand, PendingKey, PendingQueue, PlaceOutcome, PlaceWeights, PressureAction,
    PressureGauge, PressureInput, QuarantineTracker, QuotaLedger, SlowdownEstimate, SlowdownSample,
    TaskNeed, TaskReservation, WorkerEntry, WorkerHealth, WorkerPool,
};

fn attempt(index: u32) -> AttemptId {
    AttemptId {
        task: TaskId {
            job: JobId::from("job"),
            index,
        },
        number: 1,
    }
}

fn tenant(index: u32, size: ResourceSize, family: &str) -> TaskReservation {
    TaskReservation {
        attempt: attempt(index),
        size,
        family: family.to_owned(),
        checkpoint: true,
        repeatable: true,
        progress_percent: 0,
    }
}

#[derive(Clone, Debug)]
enum PoolStep {
    Place(u64, u64),
    Release(u32),
    Resize(usize, u64),
    Remove(usize),
}

fn steps() -> impl Strategy<Value = Vec<PoolStep>> {
    let step = prop_oneof![
        4 => (1_u64..5_000, 1_u64..9_000).prop_map(|(cpu, memory)| PoolStep::Place(cpu, memory)),
        3 => (0_u32..200).prop_map(PoolStep::Release),
        1 => (0_usize..5, 1_000_u64..16_000).prop_map(|(worker, cpu)| PoolStep::Resize(worker, cpu)),
        1 => (0_usize..5).prop_map(PoolStep::Remove),
    ];
    proptest::collection::vec(step, 1..200)
}

fn worker(number: usize, cpu: u64) -> WorkerEntry {
    WorkerEntry::plain(&format!("w-{number}"), ResourceSize::new(cpu, 20_000, 0))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn reservations_never_pass_capacity(steps in steps()) {
        let mut pool = WorkerPool::new(3, PlaceWeights::default());
        for number in 0..5 {
            let entry = worker(number, 8_000);
            pool.upsert(&entry);
            pool.set_open(&entry.worker, true);
        }
        let mut placed: Vec<(WorkerId, u32)> = Vec::new();
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                PoolStep::Place(cpu, memory) => {
                    let size = ResourceSize::new(cpu, memory, 0);
                    if let PlaceOutcome::Placed(choice) = pool.choose(&TaskNeed::plain(size, "f"), 1) {
                        let index = index as u32;
                        prop_assert!(pool.reserve(&choice.worker, tenant(index, size, "f")).is_ok());
                        prop_assert!(!pool.is_overcommitted(&choice.worker));
                        placed.push((choice.worker, index));
                    }
                }
                PoolStep::Release(index) => {
                    if let Some(position) = placed.iter().position(|(_, known)| *known == index) {
                        let (worker, index) = placed.swap_remove(position);
                        pool.release(&worker, &attempt(index));
                    }
                }
                PoolStep::Resize(number, cpu) => pool.upsert(&worker(number, cpu)),
                PoolStep::Remove(number) => {
                    let entry = worker(number, 8_000);
                    pool.remove(&entry.worker);
                    placed.retain(|(known, _)| *known != entry.worker);
                    pool.upsert(&entry);
                    pool.set_open(&entry.worker, true);
                }
            }
        }
    }
}

/// Pairs that are seen in changing company are told apart.
fn pairs_are_told_apart() {
    let mut estimate = SlowdownEstimate::default();
    let service = ServiceId::from("pricing");
    let truth = [("quiet", 0.02), ("loud", 0.5), ("middling", 0.2)];
    for round in 0..600_u32 {
        let families: Vec<(String, u32)> = truth
            .iter()
            .enumerate()
            .map(|(position, (family, _))| ((*family).to_owned(), (round >> position) % 3))
            .filter(|(_, count)| *count > 0)
            .collect();
        let slowdown = families.iter().map(|(family, count)| {
            let effect = truth.iter().find(|(known, _)| known == family);
            effect.map_or(0.0, |(_, effect)| effect * f64::from(*count))
        });
        let sample = SlowdownSample {
            service: service.clone(),
            slowdown: slowdown.sum(),
            families,
            band: LoadBand::Busy,
            stamped_at: u64::from(round),
        };
        estimate.learn(&sample, u64::from(round));
    }
    for (family, effect) in truth {
        let learned = estimate.effect(&service, family, LoadBand::Busy);
        assert!(
            (learned - effect).abs() < 0.06,
            "{family}: {learned} for {effect}"
        );
    }
    let busier = estimate.effect(&service, "loud", LoadBand::Peak);
    assert!(
        busier > 0.5,
        "an unseen band is not taken for harmless: {busier}"
    );
}

/// A measurement that speaks of long ago teaches nothing.
fn old_samples_teach_nothing() {
    let mut estimate = SlowdownEstimate::default();
    let sample = SlowdownSample {
        service: ServiceId::from("pricing"),
        families: vec![("loud".to_owned(), 1)],
        band: LoadBand::Peak,
        slowdown: 5.0,
        stamped_at: 1,
    };
    assert!(!estimate.learn(&sample, 10_000_000));
    assert_eq!(
        estimate.effect(&sample.service, "loud", LoadBand::Peak),
        0.0
    );
}

/// Under lasting pressure the worst offender is throttled first and evicted later, and evictions have a budget.
fn pressure_throttles_then_evicts() {
    let weights = PlaceWeights {
        tail: 5.0,
        throughput: 2.0,
        evictions: 3.0,
    };
    let mut gauge = PressureGauge::new(weights);
    let mut estimate = SlowdownEstimate::default();
    let service = ServiceId::from("pricing");
    for round in 0..20 {
        let sample = SlowdownSample {
            service: service.clone(),
            families: vec![("loud".to_owned(), 1)],
            band: LoadBand::Peak,
            slowdown: 2.0,
            stamped_at: round,
        };
        estimate.learn(&sample, round);
    }
    let size = ResourceSize::new(1, 1, 0);
    let tenants = [tenant(1, size, "loud"), tenant(2, size, "quiet")];
    let worker = WorkerId::from("w-1");
    let mut actions = Vec::new();
    for second in 0..600_u64 {
        let input = PressureInput {
            worker: &worker,
            service: &service,
            slowdown: 2.0,
            band: LoadBand::Peak,
            reservations: &tenants,
        };
        actions.extend(gauge.judge(&input, &estimate, second * 1_000));
    }
    let loud = attempt(1);
    assert_eq!(
        actions[0],
        PressureAction::Throttle {
            attempt: loud.clone()
        }
    );
    assert_eq!(actions[1], PressureAction::Evict { attempt: loud });
    let evictions = actions
        .iter()
        .filter(|action| matches!(action, PressureAction::Evict { .. }));
    assert!(evictions.count() <= 24, "the budget of 4 and one each 30 s");
}

/// Different jobs that fail on a worker close it, the same job does not, and it comes back by a probe.
fn quarantine_tells_workers_from_tasks() {
    let mut book = QuarantineTracker::default();
    let (bad, fine) = (WorkerId::from("bad"), WorkerId::from("fine"));
    for round in 0..10 {
        assert!(!book.note_failure(&fine, &JobId::from("same"), round));
    }
    assert!(!book.note_failure(&bad, &JobId::from("one"), 1));
    assert!(!book.note_failure(&bad, &JobId::from("two"), 2));
    assert!(book.note_failure(&bad, &JobId::from("three"), 3));
    assert!(matches!(
        book.health(&bad, 4),
        WorkerHealth::Quarantined { .. }
    ));
    assert_eq!(book.health(&bad, 100_000), WorkerHealth::Probation);
    book.note_success(&bad);
    assert_eq!(book.health(&bad, 100_001), WorkerHealth::Healthy);
}

/// Urgent tasks come first, but not for ever, and the team that holds least of its quota comes next.
fn turns_are_fair() {
    let mut queue = PendingQueue::default();
    let mut quotas = QuotaLedger::default();
    let key = |urgent, team: &str| PendingKey {
        urgent,
        team: TeamId::from(team),
    };
    for team in ["a", "b"] {
        quotas.set_slice(&TeamId::from(team), ResourceSize::new(100, 100, 0));
    }
    quotas.hold(&TeamId::from("a"), &ResourceSize::new(50, 50, 0));
    queue.insert(&key(false, "a"), &attempt(1).task);
    queue.insert(&key(false, "b"), &attempt(2).task);
    queue.insert(&key(true, "a"), &attempt(3).task);
    let turn = queue.serving_order(&quotas);
    assert_eq!(turn, vec![key(true, "a"), key(false, "b"), key(false, "a")]);
    (0..8).for_each(|_| queue.note_placed(true));
    assert!(!queue.serving_order(&quotas)[0].urgent);
}

/// What was seen corrects a declaration upwards only.
fn prior_is_corrected_upwards() {
    let mut prior = FamilyHistory::default();
    let declared = ResourceSize::new(2_000, 4_000, 0);
    prior.note_usage("small", &ResourceSize::new(500, 1_000, 0));
    assert_eq!(prior.reserve_size("small", &declared), declared);
    prior.note_usage("large", &ResourceSize::new(8_000, 1_000, 0));
    let reserved = prior.reserve_size("large", &declared);
    assert_eq!(reserved, ResourceSize::new(9_200, 4_000, 0));
}

cases! {
    estimates_tell_pairs_apart => pairs_are_told_apart();
    estimates_ignore_old_samples => old_samples_teach_nothing();
    pressure_has_steps_and_a_budget => pressure_throttles_then_evicts();
    quarantine_closes_workers_not_tasks => quarantine_tells_workers_from_tasks();
    queue_turns_are_fair => turns_are_fair();
    sizes_are_corrected_upwards => prior_is_corrected_upwards();
}
