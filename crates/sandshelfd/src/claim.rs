//! Claims a caller's key in the platform's table before a request that must not be repeated is forwarded.
//!
//! The caller may retry through another entry host, so the claim is stored where all entry hosts see it.

use sandshelf_model::{Millis, ServiceId};
use sandshelf_platform::{PlatformClient, RowCheck, TableKey, TableTxn, TxnOutcome};

use crate::clock;

/// The outcome of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This request holds the key: it may be forwarded, once.
    Claimed(KeyClaim),
    /// Another request holds the key; it may have run.
    Taken,
    /// The store did not answer before the deadline: the request is not run.
    StoreUnavailable,
}

/// A claimed key, needed to release it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyClaim {
    row: String,
    version: u64,
}

/// Claims `key` for the request identified by `token`; retries until `deadline` while the store does not answer.
pub async fn claim_key(
    platform: &PlatformClient,
    service: &ServiceId,
    key: &str,
    token: &str,
    deadline: Millis,
) -> ClaimOutcome {
    let row = TableKey::Claim(service, key).text();
    let txn = TableTxn::new(token)
        .check(RowCheck::new(&row, 0))
        .put(&row, token);
    while clock::now() < deadline {
        match platform.transact(&txn).await {
            Ok(TxnOutcome::Committed(versions)) => {
                let version = versions.first().copied().unwrap_or_default();
                return ClaimOutcome::Claimed(KeyClaim { row, version });
            }
            Ok(TxnOutcome::Conflict(rows)) => {
                // The row may be from an earlier try of this same claim whose answer was lost.
                let own = rows.iter().find(|found| found.value == token);
                return match own {
                    Some(found) => ClaimOutcome::Claimed(KeyClaim {
                        row,
                        version: found.version,
                    }),
                    None => ClaimOutcome::Taken,
                };
            }
            // The same conditional write can be retried safely: at most one of the two takes effect.
            Err(_) => pause_before_retry().await,
        }
    }
    ClaimOutcome::StoreUnavailable
}

/// Waits before a retry, so that a store that is down is not called in a tight loop.
async fn pause_before_retry() {
    const RETRY_PAUSE_MS: u64 = 50;
    tokio::time::sleep(std::time::Duration::from_millis(RETRY_PAUSE_MS)).await;
}

/// Releases the key of a request that certainly did not run, so that the caller may use it again.
pub async fn release_key(platform: &PlatformClient, claim: &KeyClaim, token: &str) {
    let txn = TableTxn::new(&format!("{token}-release"))
        .check(RowCheck::new(&claim.row, claim.version))
        .delete(&claim.row);
    let _ = platform.transact(&txn).await;
}
