//! Tests the event queue and the models of processors and links.

use sandshelf_emulator::capacity::{LinkModel, ProcessorModel};
use sandshelf_emulator::queue::{EventQueue, MS};

fn queue_keeps_order() {
    let mut queue = EventQueue::default();
    for (at, what) in [(5, "third"), (1, "first"), (5, "fourth"), (2, "second")] {
        queue.push(at, what);
    }
    let order: Vec<&str> =
        std::iter::from_fn(|| queue.pop_until(5).map(|(_, what)| what)).collect();
    assert_eq!(order, ["first", "second", "third", "fourth"]);
}

fn queue_stops_at_its_time() {
    let mut queue = EventQueue::default();
    queue.push(7, ());
    assert_eq!(queue.pop_until(6), None);
    assert_eq!(queue.pop_until(7), Some((7, ())));
}

/// Work on a share of a core takes longer in inverse proportion to the share, and pieces of work run one after the other.
fn share_of_a_core() {
    let mut processor = ProcessorModel::new(120);
    assert_eq!(processor.work(0, 12 * MS), 100 * MS);
    assert_eq!(processor.work(50 * MS, 12 * MS), 200 * MS);
    assert_eq!(processor.used, 24 * MS);
}

fn slowed_core() {
    let mut processor = ProcessorModel::new(500);
    processor.slow_down(4, 10 * MS);
    assert_eq!(processor.work(0, MS), 8 * MS);
    assert_eq!(processor.work(10 * MS, MS), 12 * MS);
}

/// A link of 10 Mbit/s carries 1.25 MB per second.
fn bytes_of_a_link() {
    let mut link = LinkModel::new(10_000);
    assert_eq!(link.carry(0, 125_000), 100 * MS);
    assert_eq!(link.queue_ms(40 * MS), 60);
    assert_eq!(link.carry(40 * MS, 12_500), 110 * MS);
}

sandshelf_cases::cases! {
    events_come_in_order => queue_keeps_order();
    no_event_after_the_limit => queue_stops_at_its_time();
    a_share_of_a_core_takes_longer => share_of_a_core();
    a_core_is_slowed_until_a_time => slowed_core();
    a_link_sends_bytes_in_order => bytes_of_a_link();
}
