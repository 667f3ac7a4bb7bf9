//! The daemon's own settings.

use std::net::SocketAddr;

use sandshelf_model::{HallId, HostId, Millis};

use crate::fault::FaultList;
use crate::parse::parse_object;
use crate::reader::{ObjectReader, SourceFile};

/// A task's lease has to outlast its owner's death and the takeover by so many shard leases.
const LEASES_PER_TASK_LEASE: u64 = 4;

/// Time limits of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// How long a shard's ownership lasts without a durable renewal.
    pub shard_lease_ms: Millis,
    /// How long a worker keeps a task without a renewal.
    pub task_lease_ms: Millis,
    /// How long an owner goes on renewing task leases while the store is out.
    pub renewal_grace_ms: Millis,
    /// How often the control thread acts.
    pub tick_ms: Millis,
    /// How long a caller may take to send its request.
    pub body_timeout_ms: Millis,
    /// How long a planned stop goes on serving after it turned unready.
    pub drain_ms: Millis,
}

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// This entry host's name; the daemon adds its incarnation.
    pub host: HostId,
    /// The hall that it stands in.
    pub hall: HallId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators and the balancer's health checks connect.
    pub operator_address: SocketAddr,
    /// Where the other entry hosts connect.
    pub peer_address: SocketAddr,
    /// The platform's service.
    pub platform_address: SocketAddr,
    /// The largest body of a request or answer, in bytes.
    pub max_body_bytes: u64,
    /// The most requests that wait for a slot.
    pub queue_limit: usize,
    /// How many threads carry traffic.
    pub traffic_threads: usize,
    /// Time limits.
    pub limits: TimeLimits,
}

/// Parses and checks a settings file.
///
/// # Errors
/// Every fault of the file, with line, column and remedy.
pub fn parse_settings(file: &SourceFile) -> Result<DaemonSettings, FaultList> {
    parse_object(file, read_settings)
}

fn read_settings(reader: &mut ObjectReader<'_>) -> Option<DaemonSettings> {
    let host = reader.name("host");
    let hall = reader.name("hall");
    let caller_address = reader.address("caller_address");
    let operator_address = reader.address("operator_address");
    let peer_address = reader.address("peer_address");
    let platform_address = reader.address("platform_address");
    let max_body_bytes = reader.number_or("max_body_bytes", 1, 1 << 30, 8 << 20);
    let queue_limit = reader.number_or("queue_limit", 1, 100_000, 512);
    let traffic_threads = reader.number_or("traffic_threads", 1, 64, 2);
    let limits = read_limits(reader);
    Some(DaemonSettings {
        host: HostId::from(host?),
        hall: HallId::from(hall?),
        caller_address: caller_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        platform_address: platform_address?,
        max_body_bytes: max_body_bytes?,
        queue_limit: queue_limit? as usize,
        traffic_threads: traffic_threads? as usize,
        limits: limits?,
    })
}

fn read_limits(reader: &mut ObjectReader<'_>) -> Option<TimeLimits> {
    let shard_lease_ms = reader.number_or("shard_lease_ms", 500, 600_000, 1_000);
    let task_lease_ms = reader.number_or("task_lease_ms", 500, 600_000, 10_000);
    let renewal_grace_ms = reader.number_or("renewal_grace_ms", 0, 7_200_000, 2_700_000);
    let tick_ms = reader.number_or("tick_ms", 10, 10_000, 100);
    let body_timeout_ms = reader.number_or("body_timeout_ms", 10, 600_000, 10_000);
    let drain_ms = reader.number_or("drain_ms", 0, 600_000, 5_000);
    let limits = TimeLimits {
        shard_lease_ms: shard_lease_ms?,
        task_lease_ms: task_lease_ms?,
        renewal_grace_ms: renewal_grace_ms?,
        tick_ms: tick_ms?,
        body_timeout_ms: body_timeout_ms?,
        drain_ms: drain_ms?,
    };
    if limits.tick_ms * 4 > limits.shard_lease_ms {
        let problem = format!(
            "tick_ms {} is more than a quarter of shard_lease_ms {}",
            limits.tick_ms, limits.shard_lease_ms
        );
        reader.note(
            reader.offset(),
            problem,
            "lower tick_ms or raise shard_lease_ms",
        );
        return None;
    }
    if limits.task_lease_ms < limits.shard_lease_ms * LEASES_PER_TASK_LEASE {
        let problem = format!(
            "task_lease_ms {} is less than {LEASES_PER_TASK_LEASE} times shard_lease_ms {}: tasks would end with their owner",
            limits.task_lease_ms, limits.shard_lease_ms
        );
        reader.note(
            reader.offset(),
            problem,
            "raise task_lease_ms or lower shard_lease_ms",
        );
        return None;
    }
    Some(limits)
}
