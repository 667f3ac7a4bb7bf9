//! A fake of the table service: versioned rows and atomic transactions.

use std::collections::BTreeMap;

use sandshelf_platform::{ReadRange, TableRow, TableTxn, TxnOutcome};

/// Versioned rows, by key.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, TableRow>,
    version: u64,
    /// The number of committed transactions.
    pub commits: u64,
}

impl FakeTable {
    /// Runs a transaction: applies all of its writes, or none where a checked row has another version than expected. A row
    /// that doesn't exist has version 0. A conflict returns the checked rows that exist.
    pub fn transact(&mut self, txn: &TableTxn) -> TxnOutcome {
        let checks_pass = txn
            .checks
            .iter()
            .all(|check| self.version_of(&check.key) == check.version);
        if !checks_pass {
            let rows = txn.checks.iter();
            let rows = rows.filter_map(|check| self.rows.get(&check.key)).cloned();
            return TxnOutcome::Conflict(rows.collect());
        }
        self.version += 1;
        self.commits += 1;
        for key in &txn.deletes {
            self.rows.remove(key);
        }
        for put in &txn.puts {
            let row = TableRow {
                key: put.key.clone(),
                version: self.version,
                value: put.value.clone(),
            };
            self.rows.insert(put.key.clone(), row);
        }
        TxnOutcome::Committed(vec![self.version; txn.puts.len()])
    }

    /// Reads one row; none where it doesn't exist.
    pub fn row(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(key)
    }

    /// Reads the rows whose keys lie in the range, both ends included, in the order of their keys.
    pub fn range(&self, range: &ReadRange) -> Vec<TableRow> {
        if range.from > range.to {
            return Vec::new();
        }
        let rows = self.rows.range(range.from.clone()..=range.to.clone());
        rows.map(|(_, row)| row.clone()).collect()
    }

    /// The number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn version_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }
}
