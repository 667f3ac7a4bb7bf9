//! Slices of a quota: their sum never exceeds the quota, in whatever order owners write, and one shard may get the whole
//! quota.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_cases::cases;
use sandshelf_lease::{QuotaRow, SlicePlan, SliceTracker};
use sandshelf_model::{ResourceSize, ShardId};

const QUOTA: ResourceSize = ResourceSize::new(10_000, 10_000, 4);

fn shard(number: usize) -> ShardId {
    ShardId::from(format!("shard-{number}"))
}

fn sum(sizes: impl Iterator<Item = ResourceSize>) -> ResourceSize {
    sizes.fold(ResourceSize::default(), |sum, size| {
        sum.plus(&size).expect("the sum does not overflow")
    })
}

/// A write of the row that has been sent but has not reached the store.
struct SentWrite {
    /// The number of the shard whose owner sent it.
    number: usize,
    epoch: u64,
    /// The row version on which the write is conditional.
    base: u64,
    row: QuotaRow,
}

/// Owners plan from rows that may be outdated; their writes arrive late or never, or the answers to them are lost.
///
/// After each step, neither the slices in use nor the slices in the row may exceed the quota in sum.
fn sum_never_exceeds_the_quota(seeds: u64) {
    for seed in 0..seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut row = QuotaRow::default();
        let mut version = 0_u64;
        let mut epochs = [1_u64; 4];
        let mut trackers: [SliceTracker; 4] = Default::default();
        let mut read: Vec<(u64, QuotaRow)> = vec![(0, row.clone()); 4];
        let mut used: BTreeMap<usize, ResourceSize> = BTreeMap::new();
        let mut sent: Vec<SentWrite> = Vec::new();
        for step in 0..4_000 {
            let number = rng.random_range(0..4);
            match rng.random_range(0..20) {
                0 => {
                    // A new owner takes over; it uses nothing until the slice in the row carries its epoch.
                    epochs[number] += 1;
                    trackers[number] = SliceTracker::default();
                    used.remove(&number);
                }
                1..6 => read[number] = (version, row.clone()),
                6..12 => {
                    let wanted = ResourceSize::new(
                        rng.random_range(0..8_000),
                        rng.random_range(0..8_000),
                        rng.random_range(0..4),
                    );
                    let (base, seen) = read[number].clone();
                    let epoch = epochs[number];
                    let tracker = &mut trackers[number];
                    let plan = tracker.plan(base, &seen, &shard(number), epoch, &QUOTA, &wanted);
                    if let Some(size) = plan.use_now {
                        used.insert(number, size);
                    }
                    sent.extend(plan.write.map(|row| SentWrite {
                        number,
                        epoch,
                        base,
                        row,
                    }));
                }
                _ if sent.is_empty() => {}
                _ => {
                    let position = rng.random_range(0..sent.len());
                    let write = sent.swap_remove(position);
                    if write.base != version {
                        continue;
                    }
                    row = write.row;
                    version += 1;
                    let answered = rng.random_range(0..3) > 0;
                    if answered && epochs[write.number] == write.epoch {
                        let name = shard(write.number);
                        let tracker = &mut trackers[write.number];
                        if let Some(size) = tracker.note_written(version, &row, &name, write.epoch)
                        {
                            used.insert(write.number, size);
                        }
                    }
                }
            }
            let in_use = sum(used.values().copied());
            assert!(
                in_use.fits_in(&QUOTA),
                "seed {seed} step {step}: {in_use} in use"
            );
            let sliced = sum(row.slices.values().map(|slice| slice.size));
            assert!(
                sliced.fits_in(&QUOTA),
                "seed {seed} step {step}: {sliced} in slices"
            );
        }
    }
}

/// A shard that wants the whole quota gets it where the other shards have no slices.
fn one_shard_may_get_the_whole_quota() {
    let row = QuotaRow::default();
    let SlicePlan::Raise(row) = row.plan(&shard(0), 1, &QUOTA, &QUOTA) else {
        panic!("the slice is raised");
    };
    assert_eq!(row.usable(&shard(0), 1), Some(QUOTA));
    let nothing = ResourceSize::default();
    let SlicePlan::Lower(size, row) = row.plan(&shard(0), 1, &QUOTA, &nothing) else {
        panic!("the slice is given back");
    };
    assert_eq!(size, nothing);
    let plan = row.plan(&shard(1), 1, &QUOTA, &QUOTA);
    assert!(matches!(plan, SlicePlan::Raise(_)));
}

/// An owner doesn't change or use a slice that a later owner has written.
fn earlier_owner_is_superseded() {
    let row = QuotaRow::default();
    let SlicePlan::Raise(row) = row.plan(&shard(0), 5, &QUOTA, &QUOTA) else {
        panic!("the slice is raised");
    };
    let plan = row.plan(&shard(0), 4, &QUOTA, &ResourceSize::default());
    assert_eq!(plan, SlicePlan::Superseded);
    assert_eq!(row.usable(&shard(0), 4), None);
}

cases! {
    sum_stays_within_the_quota => sum_never_exceeds_the_quota(40);
    whole_quota_for_one_shard => one_shard_may_get_the_whole_quota();
    slice_of_a_later_owner_is_kept => earlier_owner_is_superseded();
}
