//! A worker as the platform lists it, and the capacity that it has for tasks.

use sandshelf_model::{HallId, RackId, ResourceSize, ServiceId, WorkerId};

/// One worker as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker's name.
    pub worker: WorkerId,
    /// The hall that it is in.
    pub hall: HallId,
    /// The rack that it is in.
    pub rack: RackId,
    /// Total capacity, including what its services use.
    pub capacity: ResourceSize,
    /// The services that run on it, with the resources that each of them holds.
    pub services: Vec<(ServiceId, ResourceSize)>,
}

impl WorkerEntry {
    /// Creates an entry for a worker without services, in a hall and a rack named `any`.
    pub fn plain(name: &str, capacity: ResourceSize) -> Self {
        Self {
            worker: WorkerId::from(name),
            hall: HallId::from("any"),
            rack: RackId::from("any"),
            capacity,
            services: Vec::new(),
        }
    }
}

/// A worker's capacity minus what its services hold. Workers with equal values are counted together, since a fleet has only a
/// few different ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RoomShape {
    pub(super) cpu_millis: u64,
    pub(super) memory_mib: u64,
    pub(super) accelerators: u64,
}

impl RoomShape {
    pub(super) fn of(entry: &WorkerEntry) -> Self {
        let services = entry.services.iter().map(|(_, size)| size);
        let room = services.fold(entry.capacity, |room, size| room.saturating_minus(size));
        Self {
            cpu_millis: room.cpu_millis,
            memory_mib: room.memory_mib,
            accelerators: room.accelerators,
        }
    }
}
