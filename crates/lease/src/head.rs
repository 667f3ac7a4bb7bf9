//! The configuration that is in force on one entry host.

use std::sync::Arc;

use sandshelf_config::ConfigSet;
use sandshelf_model::Revision;
use serde::{Deserialize, Serialize};

/// The head row: names the configuration that was accepted last. There is one for all hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The number of accepted configurations; 0 before the first.
    pub revision: Revision,
    /// The digest of the configuration's bytes, which is the key of its object.
    pub digest: String,
    /// Unique to each write, to tell a lost answer from a lost write.
    pub token: String,
    /// Who applied the configuration, as given to the operator's command.
    pub operator: String,
}

/// What to do about a head that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The head is newer than the one in force: fetch its configuration.
    Fetch(HeadRow),
    /// The head is already in force.
    InForce,
    /// The head is older than the one in force and is ignored.
    Older,
}

/// The configuration in force; its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    head: HeadRow,
    set: Option<Arc<ConfigSet>>,
}

impl ConfigView {
    /// The head in force; the default (revision 0) before the first configuration.
    pub fn head(&self) -> &HeadRow {
        &self.head
    }

    /// The configuration in force; none before the first.
    pub fn set(&self) -> Option<&Arc<ConfigSet>> {
        self.set.as_ref()
    }

    /// Compares a head that was read from the store or received from a peer with the one in force.
    pub fn judge(&self, head: &HeadRow) -> HeadVerdict {
        match head.revision.cmp(&self.head.revision) {
            std::cmp::Ordering::Greater => HeadVerdict::Fetch(head.clone()),
            std::cmp::Ordering::Equal => HeadVerdict::InForce,
            std::cmp::Ordering::Less => HeadVerdict::Older,
        }
    }

    /// Puts a configuration in force if the head is newer, the bytes match its digest and they can be decoded.
    ///
    /// Returns whether it is now in force.
    pub fn put_in_force(&mut self, head: &HeadRow, bytes: &[u8]) -> bool {
        if head.revision <= self.head.revision {
            return false;
        }
        if sandshelf_model::content_digest(bytes) != head.digest {
            return false;
        }
        let Ok(set) = ConfigSet::from_bytes(bytes) else {
            return false;
        };
        self.head = head.clone();
        self.set = Some(Arc::new(set));
        true
    }
}
