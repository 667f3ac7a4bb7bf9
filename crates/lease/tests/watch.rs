//! How hosts watch the owner row: by the owner's notices, by reads while they hear none, and by the end of its process.

use sandshelf_lease::{
    LeaseTimes, OwnerWatch, ShardLease, ShardRow, StoredRow, NOTICE_SILENCE_MS, READ_INTERVAL_MS,
};
use sandshelf_model::{HostId, Millis};

const LEASE_MS: Millis = 1_200;
const STAGGER_MS: Millis = 60;
const RENEWAL_INTERVAL_MS: Millis = 400;
/// How often an owner under load writes, and how often it tells of that at most.
const COMMIT_INTERVAL_MS: Millis = 40;
const NOTICE_INTERVAL_MS: Millis = 300;
const EPOCH: u64 = 7;
/// By how much the store's clock is ahead of the hosts'.
const STORE_AHEAD_MS: Millis = 500_000;
/// How long a read of the row takes.
const READ_MS: Millis = 10;

/// A host that watches the row, and the row in the store.
struct Watcher {
    now: Millis,
    lease: ShardLease,
    watch: OwnerWatch,
    stored: StoredRow,
    reads: usize,
    /// Whether notices of the owner arrive.
    hears: bool,
    /// Whether the host's reads succeed.
    reaches_store: bool,
}

impl Watcher {
    fn new() -> Self {
        let stored = StoredRow {
            version: 1,
            row: ShardRow {
                owner: Some(HostId::from("owner.1")),
                epoch: EPOCH,
                sent_store_ms: STORE_AHEAD_MS,
                ..ShardRow::default()
            },
        };
        let times = LeaseTimes {
            stagger_ms: STAGGER_MS,
            ..LeaseTimes::derive(LEASE_MS, 4_000, 60_000)
        };
        Self {
            now: 0,
            lease: ShardLease::new(HostId::from("other.1"), times),
            watch: OwnerWatch::default(),
            stored,
            reads: 0,
            hears: true,
            reaches_store: true,
        }
    }

    /// The owner writes its row; hosts don't hear of that.
    fn commit(&mut self) {
        self.stored.version += 1;
        self.stored.row.sequence += 1;
        self.stored.row.sent_store_ms = STORE_AHEAD_MS + self.now;
    }

    fn renew(&mut self) {
        self.commit();
        let (version, sequence) = (self.stored.version, self.stored.row.sequence);
        if self.hears && self.lease.note_renewed(self.now, EPOCH, version, sequence) {
            self.watch.note_renewed(self.now);
        }
    }

    fn step(&mut self) {
        self.now += 5;
        if self.watch.wants_read(self.now) {
            self.reads += 1;
            self.watch.begin_read(self.now);
        }
        let ready = |at: Millis| self.now >= at + READ_MS;
        if self.watch.read_started_at().is_some_and(ready) {
            let row = self.reaches_store.then(|| self.stored.clone());
            self.watch.end_read(self.now, row.as_ref());
            match row {
                Some(row) => {
                    let store_ms = STORE_AHEAD_MS + self.now;
                    let age_ms = store_ms - row.row.sent_store_ms;
                    self.lease.note_aged_read(self.now, row, age_ms);
                }
                None => self.lease.return_to_watching(),
            }
        }
    }

    /// Lets time pass; the owner renews in its interval where `renews` says so.
    fn advance(&mut self, millis: Millis, renews: bool) {
        let until = self.now + millis;
        while self.now < until {
            self.step();
            if renews && self.now.is_multiple_of(RENEWAL_INTERVAL_MS) {
                self.renew();
            }
        }
    }

    /// Lets time pass until the host may claim the shard; returns how long that took.
    fn advance_to_claim(&mut self, rank: u32) -> Millis {
        let from = self.now;
        while !self.lease.may_claim(self.now, rank) && !self.may_claim_early(rank) {
            self.step();
            assert!(self.now < from + 10_000, "the shard is never claimed");
        }
        self.now - from
    }

    fn may_claim_early(&self, rank: u32) -> bool {
        self.watch.may_claim_early(self.now, &self.lease, rank)
    }
}

/// A host that hears of renewals reads the row once, when it starts.
fn a_host_that_hears_reads_nothing() {
    let mut watcher = Watcher::new();
    watcher.advance(10_000, true);
    assert_eq!(watcher.reads, 1);
    assert!(!watcher.lease.may_claim(watcher.now, 0));
}

/// A connection that falls silent while the owner lives brings the reads back, and no claim.
fn a_silent_connection_brings_reads() {
    let mut watcher = Watcher::new();
    watcher.advance(4_000, true);
    watcher.hears = false;
    let before = watcher.reads;
    watcher.advance(4_000, true);
    let expected = (4_000 - NOTICE_SILENCE_MS) / (READ_INTERVAL_MS + READ_MS);
    let reads = (watcher.reads - before) as u64;
    assert!(reads.abs_diff(expected) <= 2, "{reads} reads");
    assert!(!watcher.lease.may_claim(watcher.now, 0));
    watcher.hears = true;
    watcher.advance(1_000, true);
    let before = watcher.reads;
    watcher.advance(4_000, true);
    assert_eq!(watcher.reads, before, "the owner is heard again");
}

/// The host of an owner that has lost power says nothing. The shard is claimed a lease after its last renewal, as by a host that
/// reads the row.
fn a_silent_death_is_noticed_in_time(hears: bool) {
    let mut watcher = Watcher::new();
    watcher.hears = hears;
    watcher.advance(4_000, true);
    let took = watcher.advance_to_claim(0);
    let latest = match hears {
        true => LEASE_MS + 200,
        false => LEASE_MS + 200 + READ_INTERVAL_MS,
    };
    assert!((LEASE_MS - 100..=latest).contains(&took), "{took} ms");
}

/// An owner under load writes its row far more often than it tells of that. When its host loses power, the shard is claimed a lease after
/// its last write all the same: the row tells when that was.
fn writes_between_notices_delay_nothing(after_notice_ms: Millis) {
    let mut watcher = Watcher::new();
    watcher.advance(1_000, true);
    while watcher.now < 6_000 + after_notice_ms {
        watcher.step();
        if watcher.now.is_multiple_of(NOTICE_INTERVAL_MS) {
            watcher.renew();
        } else if watcher.now.is_multiple_of(COMMIT_INTERVAL_MS) {
            watcher.commit();
        }
    }
    let last_write_ms = watcher.now + STORE_AHEAD_MS - watcher.stored.row.sent_store_ms;
    let took = watcher.advance_to_claim(0) + last_write_ms;
    assert!((LEASE_MS..=LEASE_MS + 200).contains(&took), "{took} ms");
}

/// A host that begins to watch counts the lease from its first read, however old the row is: in an earlier life it may have said that it
/// won't claim for that long.
fn a_first_read_counts_from_itself() {
    let mut watcher = Watcher::new();
    watcher.now = 60_000;
    let took = watcher.advance_to_claim(0);
    assert!(took >= LEASE_MS, "{took} ms");
}

/// An owner whose process has ended is succeeded at once, by the hosts in the order of their ranks.
fn an_ended_process_is_succeeded_at_once(rank: u32) {
    let mut watcher = Watcher::new();
    watcher.advance(4_000, true);
    watcher.watch.note_ended(watcher.now, EPOCH);
    let took = watcher.advance_to_claim(rank);
    let turn = STAGGER_MS * u64::from(rank);
    assert!((turn..=turn + 30).contains(&took), "{took} ms");
}

/// The end of a process says nothing about the owner of a later epoch.
fn a_later_owner_is_not_succeeded_early() {
    let mut watcher = Watcher::new();
    watcher.advance(4_000, true);
    watcher.watch.note_ended(watcher.now, EPOCH);
    watcher.stored.version += 1;
    watcher.stored.row.epoch += 1;
    let took = watcher.advance_to_claim(0);
    assert!(took >= LEASE_MS, "{took} ms");
}

/// The process ends while the store is out. Nobody can claim; once the store is back, the hosts take their turns from their first
/// reads on, not all at once.
fn turns_begin_when_the_store_is_back(rank: u32) {
    let mut watcher = Watcher::new();
    watcher.advance(4_000, true);
    watcher.reaches_store = false;
    watcher.watch.note_ended(watcher.now, EPOCH);
    watcher.advance(3_000, false);
    assert!(!watcher.may_claim_early(rank));
    watcher.reaches_store = true;
    let took = watcher.advance_to_claim(rank);
    let turn = STAGGER_MS * u64::from(rank);
    let latest = turn + READ_INTERVAL_MS + 50;
    assert!((turn..=latest).contains(&took), "{took} ms");
}

/// A notice of an owner whose row is not known here changes nothing.
fn a_notice_of_an_unknown_owner_is_ignored() {
    let mut watcher = Watcher::new();
    watcher.advance(4_000, true);
    assert!(!watcher
        .lease
        .note_renewed(watcher.now, EPOCH + 1, 1_000, 1_000));
    assert_eq!(
        watcher.lease.row().map(|row| row.version),
        Some(watcher.stored.version)
    );
}

sandshelf_cases::cases! {
    hears => a_host_that_hears_reads_nothing();
    silent_connection => a_silent_connection_brings_reads();
    silent_death_after_notices => a_silent_death_is_noticed_in_time(true);
    silent_death_without_notices => a_silent_death_is_noticed_in_time(false);
    ended_process_first_rank => an_ended_process_is_succeeded_at_once(0);
    ended_process_third_rank => an_ended_process_is_succeeded_at_once(3);
    later_owner => a_later_owner_is_not_succeeded_early();
    store_back_first_rank => turns_begin_when_the_store_is_back(0);
    store_back_third_rank => turns_begin_when_the_store_is_back(3);
    unknown_owner => a_notice_of_an_unknown_owner_is_ignored();
    power_lost_right_after_a_notice => writes_between_notices_delay_nothing(20);
    power_lost_before_the_next_notice => writes_between_notices_delay_nothing(290);
    first_read => a_first_read_counts_from_itself();
}
