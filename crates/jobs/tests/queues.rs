//! The lookup of the queue for a request.

use proptest::prelude::*;
use sandshelf_jobs::{QueueAddress, QueueEntry, QueueRules, QueueTable};

/// The host name and path of a request.
type Request<'a> = (&'a str, &'a str);

fn queue(name: usize, hostname: &str, path_prefix: &str) -> QueueEntry {
    QueueEntry {
        name: name.to_string(),
        address: QueueAddress::new(hostname, path_prefix),
        rules: QueueRules::default(),
    }
}

fn table(queues: &[Request<'_>]) -> QueueTable {
    let queues = queues.iter().enumerate();
    let queues = queues.map(|(name, (hostname, prefix))| queue(name, hostname, prefix));
    QueueTable::new(1, 1_000, queues.collect())
}

/// Finds the queue with the longest prefix by a scan of all queues; among equal prefixes the last one.
fn find_by_scan<'a>(
    queues: &'a [QueueEntry],
    hostname: &str,
    path: &'a str,
) -> Option<(&'a QueueEntry, &'a str)> {
    let fits = |queue: &&QueueEntry| {
        queue.address.hostname.eq_ignore_ascii_case(hostname)
            && path.starts_with(&queue.address.path_prefix)
    };
    let candidates = queues.iter().filter(fits);
    let longest = candidates.max_by_key(|queue| queue.address.path_prefix.len())?;
    Some((longest, &path[longest.address.path_prefix.len()..]))
}

/// Checks that a request finds the queue with this index and this rest of the path, or none.
fn finds(queues: &[Request<'_>], request: Request<'_>, expected: Option<(usize, &str)>) {
    let table = table(queues);
    let found = table.find(request.0, request.1);
    let expected = expected.map(|(name, rest)| (name.to_string(), rest));
    assert_eq!(
        found.map(|(queue, rest)| (queue.name.clone(), rest)),
        expected
    );
}

proptest! {
    /// Finds the same queue as a scan of all queues. Few letters are used, so that prefixes of prefixes are frequent.
    #[test]
    fn finds_the_same_as_a_scan(
        queues in prop::collection::vec(("[aA]?b", "/?[aé/]{0,5}"), 0..12),
        hostname in "[aA]?[bB]",
        path in "/?[aé/]{0,8}",
    ) {
        let queues = queues.iter().enumerate();
        let queues = queues.map(|(name, (hostname, prefix))| queue(name, hostname, prefix));
        let queues: Vec<QueueEntry> = queues.collect();
        let table = QueueTable::new(1, 1_000, queues.clone());
        let name = |found: Option<(&QueueEntry, &str)>| {
            found.map(|(queue, rest)| (queue.name.clone(), rest.to_owned()))
        };
        let expected = find_by_scan(&queues, &hostname, &path);
        prop_assert_eq!(name(table.find(&hostname, &path)), name(expected));
    }
}

sandshelf_cases::cases! {
    longest_prefix => finds(&[("a", "/"), ("a", "/x/"), ("a", "/x/y")], ("a", "/x/z"), Some((1, "z")));
    shorter_prefix_before_a_nearer_one => finds(&[("a", "/x"), ("a", "/x/m"), ("a", "/x/n")], ("a", "/x/z"), Some((0, "/z")));
    whole_path => finds(&[("a", "/x/")], ("a", "/x/"), Some((0, "")));
    empty_prefix => finds(&[("a", ""), ("a", "/x/")], ("a", "/y"), Some((0, "/y")));
    last_of_equal_prefixes => finds(&[("a", "/x/"), ("A", "/x/")], ("a", "/x/1"), Some((1, "1")));
    host_name_in_any_case => finds(&[("One.Example", "/")], ("oNE.example", "/1"), Some((0, "1")));
    other_host => finds(&[("a", "/")], ("b", "/1"), None);
    path_shorter_than_all => finds(&[("a", "/x/")], ("a", "/x"), None);
    multi_byte_characters => finds(&[("a", "/é"), ("a", "/ê/")], ("a", "/éa"), Some((0, "a")));
}
