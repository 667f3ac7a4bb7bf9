//! Reservations never exceed a worker's capacity; estimates, pressure, quarantine, queue and sizes behave as documented.

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

fn reservation(index: u32, size: ResourceSize, family: &str) -> TaskReservation {
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
    fn reservations_never_exceed_capacity(steps in steps()) {
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
                        prop_assert!(pool.reserve(&choice.worker, reservation(index, size, "f")).is_ok());
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

/// The effects of families that are measured in changing combinations are learned separately.
fn effects_are_learned_separately() {
    let mut estimate = SlowdownEstimate::default();
    let service = ServiceId::from("pricing");
    let true_effects = [("quiet", 0.02), ("loud", 0.5), ("middling", 0.2)];
    for round in 0..600_u32 {
        let families: Vec<(String, u32)> = true_effects
            .iter()
            .enumerate()
            .map(|(position, (family, _))| ((*family).to_owned(), (round >> position) % 3))
            .filter(|(_, count)| *count > 0)
            .collect();
        let slowdown = families.iter().map(|(family, count)| {
            let effect = true_effects.iter().find(|(known, _)| known == family);
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
    for (family, effect) in true_effects {
        let learned = estimate.effect(&service, family, LoadBand::Busy);
        assert!(
            (learned - effect).abs() < 0.06,
            "{family}: learned {learned}, true effect {effect}"
        );
    }
    let busier = estimate.effect(&service, "loud", LoadBand::Peak);
    assert!(
        busier > 0.5,
        "an unmeasured band must not be estimated as harmless: {busier}"
    );
}

/// A sample with an old time stamp is ignored.
fn old_samples_are_ignored() {
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

/// Under a persistent slowdown the task with the largest effect is throttled first and evicted later, within the budget.
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
    let reservations = [reservation(1, size, "loud"), reservation(2, size, "quiet")];
    let worker = WorkerId::from("w-1");
    let mut actions = Vec::new();
    for second in 0..600_u64 {
        let input = PressureInput {
            worker: &worker,
            service: &service,
            slowdown: 2.0,
            band: LoadBand::Peak,
            reservations: &reservations,
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
    assert!(
        evictions.count() <= 24,
        "more evictions than the budget of 4 and one per 30 s"
    );
}

/// Failures of different jobs quarantine a worker, failures of one job do not, and a successful probe ends the quarantine.
fn quarantine_needs_failures_of_several_jobs() {
    let mut tracker = QuarantineTracker::default();
    let (faulty, healthy) = (WorkerId::from("bad"), WorkerId::from("fine"));
    for round in 0..10 {
        assert!(!tracker.note_failure(&healthy, &JobId::from("same"), round));
    }
    assert!(!tracker.note_failure(&faulty, &JobId::from("one"), 1));
    assert!(!tracker.note_failure(&faulty, &JobId::from("two"), 2));
    assert!(tracker.note_failure(&faulty, &JobId::from("three"), 3));
    assert!(matches!(
        tracker.health(&faulty, 4),
        WorkerHealth::Quarantined { .. }
    ));
    assert_eq!(tracker.health(&faulty, 100_000), WorkerHealth::Probation);
    tracker.note_success(&faulty);
    assert_eq!(tracker.health(&faulty, 100_001), WorkerHealth::Healthy);
}

/// Urgent tasks come first, except after eight in a row; then the team that holds the smallest part of its quota comes first.
fn serving_order_is_fair() {
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
    let order = queue.serving_order(&quotas);
    assert_eq!(
        order,
        vec![key(true, "a"), key(false, "b"), key(false, "a")]
    );
    (0..8).for_each(|_| queue.note_placed(true));
    assert!(!queue.serving_order(&quotas)[0].urgent);
}

/// Observed use raises the reserved size above the declared one but never lowers it.
fn reserved_size_is_only_raised() {
    let mut history = FamilyHistory::default();
    let declared = ResourceSize::new(2_000, 4_000, 0);
    history.note_usage("small", &ResourceSize::new(500, 1_000, 0));
    assert_eq!(history.reserve_size("small", &declared), declared);
    history.note_usage("large", &ResourceSize::new(8_000, 1_000, 0));
    let reserved = history.reserve_size("large", &declared);
    assert_eq!(reserved, ResourceSize::new(9_200, 4_000, 0));
}

cases! {
    estimates_separate_families => effects_are_learned_separately();
    estimates_ignore_old_samples => old_samples_are_ignored();
    pressure_has_steps_and_a_budget => pressure_throttles_then_evicts();
    quarantine_applies_to_workers_not_tasks => quarantine_needs_failures_of_several_jobs();
    queue_order_is_fair => serving_order_is_fair();
    sizes_are_only_raised => reserved_size_is_only_raised();
}
