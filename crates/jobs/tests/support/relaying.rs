//! An owner of many workers in two halls, hosts that carry its orders, and what passes between them.

use sandshelf_jobs::relay::{
    OrderBatch, OrderRoute, RelayDispatcher, RelayHandshake, RelayMessage, RelayNumber,
    RelayedAnswer,
};
use sandshelf_jobs::{
    JobNumber, RenewalAnswer, RenewalCall, RenewalReport, RunKey, StartCall, TaskKey, WorkerCall,
};
use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};

/// The owner's epoch.
pub const EPOCH: u64 = 7;
/// A host of 0.12 of a core.
pub const WEAK: u64 = 120;
/// A host of half a core.
pub const STRONG: u64 = 500;

/// A worker by its number.
pub fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w-{number}"))
}

/// The hall of a worker or host with a number.
pub fn hall(number: usize) -> HallId {
    HallId::from(["north", "south"][number % 2])
}

/// An owner of so many workers in two halls.
pub fn desk(processor_millicores: u64, workers: usize) -> RelayDispatcher {
    let mut desk = RelayDispatcher::new(EPOCH, processor_millicores);
    desk.note_workers((0..workers).map(|number| (worker(number), hall(number))));
    desk
}

/// What a host says as it joins.
pub fn greeting(host: &str, hall_number: usize, processor_millicores: u64) -> RelayHandshake {
    RelayHandshake::new(HostId::from(host), hall(hall_number), processor_millicores)
}

/// A host joins; returns how the owner calls it.
pub fn join(
    desk: &mut RelayDispatcher,
    host: &str,
    hall_number: usize,
    processor_millicores: u64,
) -> RelayNumber {
    let greeting = greeting(host, hall_number, processor_millicores);
    desk.join(0, greeting).expect("the same version")
}

/// A call that holds a worker.
pub fn hold() -> WorkerCall {
    WorkerCall::Renew(RenewalCall {
        deadline: Some(4_000),
        last_seen: 3,
        wait_ms: 500,
    })
}

/// A run of a task.
pub fn key(index: u32) -> RunKey {
    RunKey {
        task: TaskKey {
            job: JobNumber(9),
            time: 0,
            step: 0,
            index,
        },
        run: 1,
    }
}

/// A call that starts it.
pub fn start(index: u32) -> WorkerCall {
    WorkerCall::Start(StartCall {
        key: key(index),
        payload: "text".to_owned(),
        deadline: 1_500,
        checkpoint: None,
    })
}

/// Gives an owner a call to make; returns which host carries it, if one does.
pub fn route(
    desk: &mut RelayDispatcher,
    now: Millis,
    number: usize,
    call: WorkerCall,
) -> Option<RelayNumber> {
    let address = ([10, 0, 0, 1], 80).into();
    match desk.route(now, &worker(number), address, call) {
        OrderRoute::Direct(_) => None,
        OrderRoute::Relayed(relay) => Some(relay),
    }
}

/// A worker's answer to a hold.
pub fn report() -> RelayedAnswer {
    RenewalAnswer::Report(RenewalReport {
        incarnation: None,
        carrier_late_ms: 0,
        clock: 10,
        running: Vec::new(),
        ended: Vec::new(),
    })
    .into()
}

/// Answers of a host, by the numbers of orders.
pub fn answers(entries: Vec<(u64, RelayedAnswer)>) -> RelayMessage {
    RelayMessage::Answers(EPOCH, entries)
}

/// A message without orders of an epoch, sent at a time of the owner's clock.
pub fn orders_of(epoch: Epoch, sent_at: Millis) -> RelayMessage {
    RelayMessage::Orders(OrderBatch {
        epoch,
        sent_at,
        orders: Vec::new(),
    })
}
