//! The state that entry hosts send each other, and its encoding as capnp messages.

use capnp::Error;
use sandshelf_lease::ShardRoom;
use sandshelf_model::{HostId, ResourceSize, Revision, ServerId, ServiceId, ShardId, WorkerId};

use sandshelf_place::LatencyWindow;

use crate::peer_capnp::{host_news, latency_window, shard_room};

/// The size of one word of a capnp message, in bytes.
const WORD_BYTES: usize = 8;

/// The state of one entry host, as it sends it to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostNews {
    /// The host that sends the update.
    pub host: HostId,
    /// The version of the newest membership view that the host knows; the host uses no older one. 0 without a view.
    pub view_version: u64,
    /// The revision of the configuration in force on the host.
    pub revision: Revision,
    /// The digest of that configuration.
    pub digest: String,
    /// The backend servers that the host knows to be leaving.
    pub leaving: Vec<ServerId>,
    /// The free and total capacity of the shards that the host owns.
    pub rooms: Vec<ShardRoom>,
    /// Whether the host is stopping and takes over no shards.
    pub stopping: bool,
    /// The latencies that the host observed within the last complete second.
    pub latencies: Vec<LatencyWindow>,
}

impl HostNews {
    /// Returns the update of a host that has no state yet.
    pub fn empty(host: HostId) -> Self {
        Self {
            host,
            view_version: 0,
            revision: 0,
            digest: String::new(),
            leaving: Vec::new(),
            rooms: Vec::new(),
            stopping: false,
            latencies: Vec::new(),
        }
    }

    /// Returns the encoded size of the update in bytes, without the call around it.
    pub fn encoded_len(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        self.write(message.init_root());
        capnp::serialize::compute_serialized_size_in_words(&message) * WORD_BYTES
    }

    /// Encodes the update into a message.
    pub(crate) fn write(&self, mut builder: host_news::Builder<'_>) {
        builder.set_host(self.host.as_str());
        builder.set_view_version(self.view_version);
        builder.set_revision(self.revision);
        builder.set_digest(self.digest.as_str());
        builder.set_stopping(self.stopping);
        let mut leaving = builder.reborrow().init_leaving(self.leaving.len() as u32);
        for (index, server) in self.leaving.iter().enumerate() {
            leaving.set(index as u32, server.as_str());
        }
        let mut latencies = builder
            .reborrow()
            .init_latencies(self.latencies.len() as u32);
        for (index, window) in self.latencies.iter().enumerate() {
            write_window(window, latencies.reborrow().get(index as u32));
        }
        let mut rooms = builder.init_rooms(self.rooms.len() as u32);
        for (index, room) in self.rooms.iter().enumerate() {
            write_room(room, rooms.reborrow().get(index as u32));
        }
    }

    /// Decodes the update from a message.
    pub(crate) fn read(reader: host_news::Reader<'_>) -> Result<Self, Error> {
        let mut leaving = Vec::new();
        for server in reader.get_leaving()?.iter() {
            leaving.push(ServerId::from(server?.to_str()?));
        }
        let mut rooms = Vec::new();
        for room in reader.get_rooms()?.iter() {
            rooms.push(read_room(room)?);
        }
        let mut latencies = Vec::new();
        for window in reader.get_latencies()?.iter() {
            latencies.push(read_window(window)?);
        }
        Ok(Self {
            host: HostId::from(reader.get_host()?.to_str()?),
            view_version: reader.get_view_version(),
            revision: reader.get_revision(),
            digest: reader.get_digest()?.to_str()?.to_owned(),
            leaving,
            rooms,
            stopping: reader.get_stopping(),
            latencies,
        })
    }
}

fn write_room(room: &ShardRoom, mut builder: shard_room::Builder<'_>) {
    builder.set_shard(room.shard.as_str());
    builder.set_cpu_millis(room.cpu_millis);
    builder.set_largest_cpu_millis(room.largest.cpu_millis);
    builder.set_largest_memory_mib(room.largest.memory_mib);
    builder.set_largest_accelerators(room.largest.accelerators);
    builder.set_capacity_cpu_millis(room.capacity.cpu_millis);
    builder.set_capacity_memory_mib(room.capacity.memory_mib);
    builder.set_capacity_accelerators(room.capacity.accelerators);
}

fn read_room(reader: shard_room::Reader<'_>) -> Result<ShardRoom, Error> {
    Ok(ShardRoom {
        shard: ShardId::from(reader.get_shard()?.to_str()?),
        cpu_millis: reader.get_cpu_millis(),
        largest: ResourceSize::new(
            reader.get_largest_cpu_millis(),
            reader.get_largest_memory_mib(),
            reader.get_largest_accelerators(),
        ),
        capacity: ResourceSize::new(
            reader.get_capacity_cpu_millis(),
            reader.get_capacity_memory_mib(),
            reader.get_capacity_accelerators(),
        ),
    })
}

fn write_window(window: &LatencyWindow, mut builder: latency_window::Builder<'_>) {
    builder.set_service(window.service.as_str());
    builder.set_worker(window.worker.as_str());
    builder.set_count(window.count);
    builder.set_total_ms(window.total_ms);
}

fn read_window(reader: latency_window::Reader<'_>) -> Result<LatencyWindow, Error> {
    Ok(LatencyWindow {
        service: ServiceId::from(reader.get_service()?.to_str()?),
        worker: WorkerId::from(reader.get_worker()?.to_str()?),
        count: reader.get_count(),
        total_ms: reader.get_total_ms(),
    })
}
