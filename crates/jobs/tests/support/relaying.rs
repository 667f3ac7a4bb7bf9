//! An owner's dispatcher for many workers in two halls, the hosts that relay its orders, and the
//! messages between them.

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
/// Processor of a weak host: 0.12 of a core.
pub const WEAK_HOST_MILLICORES: u64 = 120;
/// Processor of a strong host: half a core.
pub const STRONG_HOST_MILLICORES: u64 = 500;

pub fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w-{number}"))
}

/// The hall of the worker or host with this number.
pub fn hall(number: usize) -> HallId {
    HallId::from(["north", "south"][number % 2])
}

/// The dispatcher of an owner with `workers` workers in two halls.
pub fn dispatcher(processor_millicores: u64, workers: usize) -> RelayDispatcher {
    let mut dispatcher = RelayDispatcher::new(EPOCH, processor_millicores);
    dispatcher.note_workers((0..workers).map(|number| (worker(number), hall(number))));
    dispatcher
}

/// The handshake that a host sends when it joins.
pub fn handshake(host: &str, hall_number: usize, processor_millicores: u64) -> RelayHandshake {
    RelayHandshake::new(HostId::from(host), hall(hall_number), processor_millicores)
}

/// A host joins; returns the number by which the owner addresses it.
pub fn join(
    dispatcher: &mut RelayDispatcher,
    host: &str,
    hall_number: usize,
    processor_millicores: u64,
) -> RelayNumber {
    let handshake = handshake(host, hall_number, processor_millicores);
    dispatcher.join(0, handshake).expect("the same version")
}

/// A call that renews a worker's lease.
pub fn renewal() -> WorkerCall {
    WorkerCall::Renew(RenewalCall {
        deadline: Some(4_000),
        last_seen: 3,
        wait_ms: 500,
    })
}

/// The first run of a task.
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

/// A call that starts that run.
pub fn start(index: u32) -> WorkerCall {
    WorkerCall::Start(StartCall {
        key: key(index),
        payload: "text".to_owned(),
        deadline: 1_500,
        checkpoint: None,
    })
}

/// Routes a call; returns the host that relays it, or `None` where the owner calls the worker
/// itself.
pub fn route(
    dispatcher: &mut RelayDispatcher,
    now: Millis,
    number: usize,
    call: WorkerCall,
) -> Option<RelayNumber> {
    let address = ([10, 0, 0, 1], 80).into();
    match dispatcher.route(now, &worker(number), address, call) {
        OrderRoute::Direct(_) => None,
        OrderRoute::Relayed(relay) => Some(relay),
    }
}

/// A worker's answer to a lease renewal.
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

/// A host's message with answers, each with the number of its order.
pub fn answers(entries: Vec<(u64, RelayedAnswer)>) -> RelayMessage {
    RelayMessage::Answers(EPOCH, entries)
}

/// A message of an epoch without orders, sent at a time of the owner's clock.
pub fn empty_orders(epoch: Epoch, sent_at: Millis) -> RelayMessage {
    RelayMessage::Orders(OrderBatch {
        epoch,
        sent_at,
        orders: Vec::new(),
    })
}
