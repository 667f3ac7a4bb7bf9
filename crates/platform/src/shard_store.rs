//! Maps a shard's row, journal and inbox to rows of the table.

use sandshelf_lease::{CommitRequest, JournalRecord, ShardRow, StoredRow};
use sandshelf_model::{Sequence, ShardId};

use crate::keys::TableKey;
use crate::table::{ReadRange, RowCheck, TableRow, TableTxn};

/// Returns the transaction of a commit. It is conditional on the version of the shard's row. It writes that row and the group of
/// journal records, adds and removes the inbox entries that the records name, and deletes the journal rows that a snapshot covers.
pub fn commit_transaction(shard: &ShardId, request: &CommitRequest) -> TableTxn {
    let row_key = TableKey::Shard(shard).text();
    let mut txn = TableTxn::new(&request.row.token)
        .check(RowCheck::new(&row_key, request.expect))
        .put(&row_key, &to_json(&request.row));
    if !request.records.is_empty() {
        let key = TableKey::Journal(shard, request.row.sequence).text();
        txn = txn.put(&key, &to_json(&request.records));
    }
    for record in &request.records {
        txn = add_inbox_change(txn, shard, record);
    }
    for sequence in request.trim_from + 1..=request.trim_to {
        txn = txn.delete(&TableKey::Journal(shard, sequence).text());
    }
    txn
}

fn add_inbox_change(txn: TableTxn, shard: &ShardId, record: &JournalRecord) -> TableTxn {
    match record {
        JournalRecord::HandedOff { to, handoff } => {
            let key = TableKey::Inbox(to, &handoff.task()).text();
            txn.put(&key, &to_json(handoff))
        }
        JournalRecord::Adopted { handoff } => {
            txn.delete(&TableKey::Inbox(shard, &handoff.task()).text())
        }
        JournalRecord::InboxDropped { task } => txn.delete(&TableKey::Inbox(shard, task).text()),
        _ => txn,
    }
}

/// Decodes a shard's row. A missing row counts as a shard without an owner, at version 0.
///
/// # Errors
/// The row's value is not the JSON of a shard's row.
pub fn read_shard_row(row: Option<&TableRow>) -> Result<StoredRow, serde_json::Error> {
    let Some(row) = row else {
        return Ok(StoredRow {
            version: 0,
            row: ShardRow::default(),
        });
    };
    Ok(StoredRow {
        version: row.version,
        row: serde_json::from_str(&row.value)?,
    })
}

/// Returns the range of the journal rows after sequence `after` (exclusive) up to `to` (inclusive).
pub fn journal_range(shard: &ShardId, after: Sequence, to: Sequence) -> ReadRange {
    ReadRange {
        from: TableKey::Journal(shard, after + 1).text(),
        to: TableKey::Journal(shard, to).text(),
    }
}

/// Decodes a journal row into its sequence number and its records. A key without a valid number gives sequence 0.
///
/// # Errors
/// The row's value is not the JSON of a group of journal records.
pub fn read_group(row: &TableRow) -> Result<(Sequence, Vec<JournalRecord>), serde_json::Error> {
    let digits = row.key.rsplit('/').next().unwrap_or_default();
    let sequence = digits.parse().unwrap_or_default();
    Ok((sequence, serde_json::from_str(&row.value)?))
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values always serialize")
}
