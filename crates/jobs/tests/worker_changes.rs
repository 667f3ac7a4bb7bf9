//! An owner that is told the changes of the worker list does the same as one that is given the whole list each time.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{JobEvent, JobNumber, StepSpec, TakeoverInfo, WorkerChanges, WorkerListing};
use sandshelf_model::WorkerId;
use support::{job, listing, step, SchedulerRig};

/// The entries of workers in the store; those without a value can't be read.
type Entries = BTreeMap<WorkerId, Option<WorkerListing>>;

/// Two owners that see the same workers, and what they were last told.
struct OwnerPair {
    whole: SchedulerRig,
    changes: SchedulerRig,
    told: Entries,
}

impl OwnerPair {
    fn new(workers: &Entries) -> Self {
        let rig = || SchedulerRig::new(TakeoverInfo::first(1, 1_000));
        let mut pair = Self {
            whole: rig(),
            changes: rig(),
            told: workers.clone(),
        };
        pair.whole.list_entries(readable(workers));
        pair.changes.list_entries(readable(workers));
        pair
    }

    fn both(&mut self, act: impl Fn(&mut SchedulerRig)) {
        act(&mut self.whole);
        act(&mut self.changes);
    }

    /// Tells both owners what the entries are now.
    fn tell(&mut self, entries: &Entries) {
        let unreadable = unreadable(entries);
        self.whole
            .handle(JobEvent::WorkersUnreadable(unreadable.clone()));
        self.whole.list_entries(readable(entries));
        let changed =
            |(id, entry): &(&WorkerId, &Option<WorkerListing>)| self.told.get(*id) != Some(*entry);
        let listed = entries.iter().filter(changed);
        let listed = listed.filter_map(|(_, entry)| entry.clone()).collect();
        let removed = self.told.keys().filter(|id| !entries.contains_key(*id));
        let changes = WorkerChanges {
            listed,
            removed: removed.cloned().collect(),
            unreadable,
        };
        self.changes.handle(JobEvent::WorkersChanged(changes));
        self.told = entries.clone();
    }

    fn compare(&self, when: &str) {
        let mut pairs = self.whole.actions.iter().zip(&self.changes.actions);
        let difference = pairs.find(|(whole, change)| whole != change);
        assert_eq!(difference, None, "{when}, at {}", self.whole.now);
        assert_eq!(self.whole.actions.len(), self.changes.actions.len());
    }
}

fn readable(entries: &Entries) -> Vec<WorkerListing> {
    entries.values().flatten().cloned().collect()
}

fn unreadable(entries: &Entries) -> Vec<WorkerId> {
    let unreadable = entries.iter().filter(|(_, entry)| entry.is_none());
    unreadable.map(|(id, _)| id.clone()).collect()
}

fn entry(number: u64) -> (WorkerId, Option<WorkerListing>) {
    let entry = listing(&format!("w-{number}"));
    (entry.worker.clone(), Some(entry))
}

/// Changes one entry at random: a worker comes, goes, drains, is replaced at its address, or its entry becomes unreadable.
fn change(random: &mut ChaCha8Rng, entries: &mut Entries, next: &mut u64) {
    let names: Vec<WorkerId> = entries.keys().cloned().collect();
    let id = names[random.random_range(0..names.len())].clone();
    match random.random_range(0..6) {
        0 => {
            *next += 1;
            entries.extend([entry(*next)]);
        }
        1 if entries.len() > 4 => {
            entries.remove(&id);
        }
        2 => {
            if let Some(Some(entry)) = entries.get_mut(&id) {
                entry.draining = true;
            }
        }
        3 => {
            let gone = entries.remove(&id).flatten();
            *next += 1;
            let (id, mut new) = entry(*next);
            if let (Some(new), Some(gone)) = (&mut new, gone) {
                new.address = gone.address;
            }
            entries.insert(id, new);
        }
        4 => {
            entries.insert(id, None);
        }
        _ => {
            let number = id.as_str().trim_start_matches("w-").parse();
            entries.extend([entry(number.expect("a number"))]);
        }
    }
}

fn changes_equal_whole_lists(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entries: Entries = (1..=12).map(entry).collect();
    let mut next = 100;
    let mut pair = OwnerPair::new(&entries);
    pair.compare("after the first list");
    for number in 0..60 {
        for _ in 0..random.random_range(0..3) {
            change(&mut random, &mut entries, &mut next);
        }
        pair.tell(&entries);
        pair.compare("after a list");
        // Now and then the store is out for longer than lists may be apart.
        let millis = if random.random_range(0..8) == 0 {
            2_500
        } else {
            600
        };
        let answering: BTreeSet<WorkerId> = entries.keys().cloned().collect();
        let standing = random.random_range(0..2) == 0;
        pair.both(|rig| {
            rig.hand_in(
                number,
                0,
                job(vec![StepSpec {
                    standing,
                    ..step(2)
                }]),
            );
            // Old jobs are cancelled, so that no task waits for room: each whole list has waiting tasks tried again, changes only those
            // that may free room.
            if let Some(old) = number.checked_sub(3) {
                rig.handle(JobEvent::CancelAsked(JobNumber(old)));
            }
            for id in &answering {
                rig.report(id.as_str(), vec![], vec![]);
            }
            rig.take_starts();
            rig.commit_all();
            rig.advance(millis);
        });
        pair.compare("after a while");
    }
}

sandshelf_cases::cases! {
    seed_1 => changes_equal_whole_lists(1);
    seed_2 => changes_equal_whole_lists(2);
    seed_3 => changes_equal_whole_lists(3);
    seed_4 => changes_equal_whole_lists(4);
    seed_5 => changes_equal_whole_lists(5);
    seed_6 => changes_equal_whole_lists(6);
    seed_7 => changes_equal_whole_lists(7);
    seed_8 => changes_equal_whole_lists(8);
}
