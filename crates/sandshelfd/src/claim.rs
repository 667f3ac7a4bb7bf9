//! Claims a caller's key in the table before a request that must not be repeated is sent on.
//!
//! The caller may ask again through another entry host, so the claim has to stand where all of them see it.

use sandshelf_model::{Millis, ServiceId};
use sandshelf_platform::{PlatformClient, RowCheck, TableKey, TableTxn, TxnOutcome};

use crate::clock;

/// What came of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key is this request's: it may be sent on, once.
    Claimed(KeyClaim),
    /// Another request holds the key; it may have run.
    Taken,
    /// The store did not answer: the request is not run.
    StoreUnavailable,
}

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyClaim {
    row: String,
    version: u64,
}

/// Claims `key` for the request that `token` names, until `deadline`.
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
                // The row may be this very claim's, where its answer was lost before.
                let own = rows.iter().find(|found| found.value == token);
                return match own {
                    Some(found) => ClaimOutcome::Claimed(KeyClaim {
                        row,
                        version: found.version,
                    }),
                    None => ClaimOutcome::Taken,
                };
            }
            // The same conditional write may be sent again: at most one of the two takes effect.
            Err(_) => pause_before_retry().await,
        }
    }
    ClaimOutcome::StoreUnavailable
}

/// Waits a little, so that a store that is down is not asked in a tight loop.
async fn pause_before_retry() {
    const RETRY_PAUSE_MS: u64 = 50;
    tokio::time::sleep(std::time::Duration::from_millis(RETRY_PAUSE_MS)).await;
}

/// Gives a key back after its request was certainly not run, so that the caller may use it again.
pub async fn release_key(platform: &PlatformClient, claim: &KeyClaim, token: &str) {
    let txn = TableTxn::new(&format!("{token}-release"))
        .check(RowCheck::new(&claim.row, claim.version))
        .delete(&claim.row);
    let _ = platform.transact(&txn).await;
}
