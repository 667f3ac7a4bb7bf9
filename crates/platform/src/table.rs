//! Rows, transactions and reads of the table service.

use serde::{Deserialize, Serialize};

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// Grows with each write of the row, also across a deletion; 0 means that the row does not exist.
    pub version: u64,
    /// The row's value.
    pub value: String,
}

/// A condition of a transaction: a row must have a given version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The row's key.
    pub key: String,
    /// The required version; 0 if the row must not exist.
    pub version: u64,
}

impl RowCheck {
    /// Requires that the row `key` has `version`.
    pub fn new(key: &str, version: u64) -> Self {
        Self {
            key: key.to_owned(),
            version,
        }
    }
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowPut {
    /// The row's key.
    pub key: String,
    /// The row's new value.
    pub value: String,
}

/// An atomic transaction: it takes effect only if all its conditions hold, and then completely.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTxn {
    /// A text that is unique to this transaction.
    pub token: String,
    /// The conditions.
    pub checks: Vec<RowCheck>,
    /// The rows to write.
    pub puts: Vec<RowPut>,
    /// The keys of the rows to delete; missing rows are ignored.
    pub deletes: Vec<String>,
}

impl TableTxn {
    /// Creates an empty transaction.
    pub fn new(token: &str) -> Self {
        Self {
            token: token.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a condition.
    pub fn check(mut self, check: RowCheck) -> Self {
        self.checks.push(check);
        self
    }

    /// Adds a row to write.
    pub fn put(mut self, key: &str, value: &str) -> Self {
        self.puts.push(RowPut {
            key: key.to_owned(),
            value: value.to_owned(),
        });
        self
    }

    /// Adds a row to delete.
    pub fn delete(mut self, key: &str) -> Self {
        self.deletes.push(key.to_owned());
        self
    }
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TxnOutcome {
    /// The transaction took effect. The new versions of the written rows, in the order of the writes.
    Committed(Vec<u64>),
    /// A condition did not hold, so nothing was changed. The current state of the rows that have conditions.
    Conflict(Vec<TableRow>),
}

/// A range of keys to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRange {
    /// The first key (inclusive).
    pub from: String,
    /// The last key (inclusive).
    pub to: String,
}

impl ReadRange {
    /// Returns the range of all keys that start with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self {
            from: prefix.to_owned(),
            to: format!("{prefix}\u{10ffff}"),
        }
    }
}
