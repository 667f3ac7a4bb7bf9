//! The queues of a configuration, and which one a caller's request is for.

use std::collections::BTreeMap;

use crate::spec::QueueRules;

/// One queue as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// Its name.
    pub name: String,
    /// The host name that callers use.
    pub hostname: String,
    /// What its paths begin with.
    pub path_prefix: String,
    /// Its rules.
    pub rules: QueueRules,
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueTable {
    /// The version; it only grows.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueEntry>,
    /// The largest body of a submission, in bytes.
    pub max_body_bytes: u64,
}

impl QueueTable {
    /// Finds the queue with the longest prefix of a path; returns it with the rest of the path.
    pub fn find<'a>(&self, hostname: &str, path: &'a str) -> Option<(&QueueEntry, &'a str)> {
        let fits = |queue: &&QueueEntry| {
            queue.hostname.eq_ignore_ascii_case(hostname) && path.starts_with(&queue.path_prefix)
        };
        let candidates = self.queues.iter().filter(fits);
        let longest = candidates.max_by_key(|queue| queue.path_prefix.len())?;
        Some((longest, &path[longest.path_prefix.len()..]))
    }

    /// The rules of all queues by name.
    pub fn rules(&self) -> BTreeMap<String, QueueRules> {
        let named = self.queues.iter();
        named
            .map(|queue| (queue.name.clone(), queue.rules.clone()))
            .collect()
    }
}
