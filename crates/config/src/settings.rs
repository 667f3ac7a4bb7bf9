//! Settings of the daemon.

use std::net::SocketAddr;

use sandshelf_model::{HallId, HostId, Millis};

use crate::fault::FaultList;
use crate::parse::parse_object;
use crate::reader::{ObjectReader, SourceFile};

/// The shortest task lease, in shard leases: a task's lease has to outlast the death of its owner and the takeover by another host.
const MIN_SHARD_LEASES_PER_TASK_LEASE: u64 = 4;

/// Leases, intervals and timeouts of the daemon, all in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// How long the ownership of a shard lasts without a durable renewal.
    pub shard_lease_ms: Millis,
    /// How long a worker keeps a task without a lease renewal.
    pub task_lease_ms: Millis,
    /// How long an owner continues to renew task leases during a store outage.
    pub renewal_grace_ms: Millis,
    /// The interval between two runs of the control thread.
    pub tick_ms: Millis,
    /// The timeout for a caller to send its request.
    pub body_timeout_ms: Millis,
    /// How long the daemon continues to serve in a planned stop after it reports that it is not ready.
    pub drain_ms: Millis,
}

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The name of this entry host; the daemon appends its incarnation.
    pub host: HostId,
    /// The hall in which the host is located.
    pub hall: HallId,
    /// The address to which callers connect.
    pub caller_address: SocketAddr,
    /// The address to which operators and the load balancer's health checks connect.
    pub operator_address: SocketAddr,
    /// The address to which the other entry hosts connect.
    pub peer_address: SocketAddr,
    /// The address of the platform's service.
    pub platform_address: SocketAddr,
    /// The maximum size of the body of a request or an answer, in bytes.
    pub max_body_bytes: u64,
    /// The maximum number of requests that wait for a slot of a backend server.
    pub queue_limit: usize,
    /// The memory that the process may use, in MiB.
    pub memory_mib: u64,
    /// The number of descriptors that the process may open.
    pub max_descriptors: u64,
    /// The number of threads that handle callers' requests.
    pub traffic_threads: usize,
    /// Leases, intervals and timeouts.
    pub limits: TimeLimits,
}

/// Parses and checks a settings file.
///
/// # Errors
/// All faults of the file, each with line, column and remedy.
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
    let process_limits = reader.process_limits();
    let limits = read_limits(reader);
    let (memory_mib, max_descriptors) = process_limits?;
    Some(DaemonSettings {
        host: HostId::from(host?),
        hall: HallId::from(hall?),
        caller_address: caller_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        platform_address: platform_address?,
        max_body_bytes: max_body_bytes?,
        queue_limit: queue_limit? as usize,
        memory_mib,
        max_descriptors,
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
        reader.add_fault(
            reader.offset(),
            problem,
            "lower tick_ms or raise shard_lease_ms",
        );
        return None;
    }
    if limits.task_lease_ms < limits.shard_lease_ms * MIN_SHARD_LEASES_PER_TASK_LEASE {
        let problem = format!(
            "task_lease_ms {} is less than {MIN_SHARD_LEASES_PER_TASK_LEASE} times shard_lease_ms {}: task leases would expire before another host takes over from a failed owner",
            limits.task_lease_ms, limits.shard_lease_ms
        );
        reader.add_fault(
            reader.offset(),
            problem,
            "raise task_lease_ms or lower shard_lease_ms",
        );
        return None;
    }
    Some(limits)
}
