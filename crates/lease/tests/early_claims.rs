//! Claims that don't wait for the end of the ownership: they count what was leased from the end of the ownership that they cut short.

use sandshelf_lease::{LeaseTimes, ShardLease, ShardRow, StoredRow};
use sandshelf_model::{HostId, Millis};

const LEASE_MS: Millis = 1_200;
/// How long after a renewal a challenger waits at most, besides slow reads: the ownership and the drift of the clocks.
const CHALLENGE_MS: Millis = LEASE_MS + LEASE_MS / 8;

fn host() -> ShardLease {
    let times = LeaseTimes::derive(LEASE_MS, 4_000, 60_000);
    ShardLease::new(HostId::from("front-1.2"), times)
}

fn row(owner: Option<&str>, epoch: u64) -> StoredRow {
    StoredRow {
        version: 5,
        row: ShardRow {
            owner: owner.map(HostId::from),
            epoch,
            ..ShardRow::default()
        },
    }
}

/// A host that was killed in an outage of the store and started again finds its earlier life as owner when it first reads the row.
fn a_restarted_host_counts_from_the_end_of_the_ownership(read_after_ms: Millis) {
    let mut lease = host();
    lease.return_to_watching();
    let now = 10_000 + read_after_ms;
    lease.note_aged_read(now, row(Some("front-1.1"), 3), 60_000);
    assert!(!lease.may_claim(now, 0), "the row may have been renewed");
    assert_eq!(lease.earlier_orders_until(now, 0), now + LEASE_MS);
}

/// The owner has given the row up as planned.
fn a_claim_after_a_planned_stop_counts_from_the_end_of_the_ownership() {
    let mut lease = host();
    lease.note_read(10_000, row(None, 3));
    assert!(lease.may_claim(10_000, 0));
    assert_eq!(lease.earlier_orders_until(10_000, 0), 10_000 + LEASE_MS);
}

/// A challenger that has waited for the ownership counts from its claim, and one that comes before any owner waits for nobody.
fn a_claim_after_the_ownership_counts_from_itself() {
    let mut lease = host();
    lease.note_read(10_000, row(Some("front-2.1"), 3));
    let claimed_at = 10_000 + CHALLENGE_MS;
    assert!(!lease.may_claim(claimed_at - 1, 0));
    assert!(lease.may_claim(claimed_at, 0));
    assert_eq!(lease.earlier_orders_until(claimed_at, 0), 0);
    let mut first = host();
    first.note_read(10_000, row(None, 0));
    assert_eq!(first.earlier_orders_until(10_000, 0), 0);
}

sandshelf_cases::cases! {
    restarted_host_claims_at_once => a_restarted_host_counts_from_the_end_of_the_ownership(0);
    restarted_host_claims_after_outage => a_restarted_host_counts_from_the_end_of_the_ownership(5_000);
    claim_after_planned_stop => a_claim_after_a_planned_stop_counts_from_the_end_of_the_ownership();
    claim_after_ownership => a_claim_after_the_ownership_counts_from_itself();
}
