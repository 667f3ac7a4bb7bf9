//! The limits of a server and how they derive from the memory and the descriptors of the process.

use std::time::Duration;

/// The size of each of the system's two buffers of a client's connection, in bytes. The system doubles it.
const CLIENT_BUFFER_BYTES: u32 = 16 * 1024;
/// The same for a connection of another host, over which much is sent between distant halls.
const HOST_BUFFER_BYTES: u32 = 64 * 1024;
/// The largest head of a request, in bytes, with the empty lines before it.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The time limit for a head, from its first byte.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client may take nothing of an answer that waits for it.
pub(crate) const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client may take for a whole answer that its connection can't hold at once.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a connection could not be accepted.
pub(crate) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What one connection can hold at most, in bytes: 32 KiB in each of the two buffers of the system, 16 KiB of a head, and as much again for
/// the piece of a body on its way, a buffer for the answer's head and the task.
const CONNECTION_BYTES: u64 = 96 * 1024;
/// Connections may hold one part in so many of the memory.
const CONNECTION_MEMORY_PARTS: u64 = 4;
/// Submissions may hold one part in so many of the memory. Each is copied about four times on its way to the store.
const SUBMISSION_MEMORY_PARTS: u64 = 16;
/// Bodies that are passed on, in either direction, may hold one part in so many of the memory.
const TRAFFIC_MEMORY_PARTS: u64 = 4;
/// The descriptors that are kept for files and for the runtime.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Incoming connections may have one part in so many of the descriptors. Each request may need another one for its call to the store; the
/// rest is for connections to workers.
const INCOMING_DESCRIPTOR_PARTS: u64 = 4;
/// Connections of other hosts may hold one part in so many of the memory, and have one part in so many of the descriptors.
const HOST_PARTS: u64 = 8;
/// The smallest number of connections of a port.
const MIN_CONNECTIONS: u64 = 4;
/// The largest number of connections that the system has completed and the process has not yet accepted.
const MAX_BACKLOG: u64 = 256;

/// The memory and the descriptors that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The memory, in bytes.
    pub memory_bytes: u64,
    /// The number of open descriptors.
    pub max_descriptors: u64,
}

/// The part of all incoming connections that a port has for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortShare {
    /// Three quarters, for the port of the callers.
    Callers,
    /// One sixteenth, for readiness, metrics or operators.
    Support,
    /// A part beside the HTTP ports, for the other hosts.
    Hosts,
}

/// What the process does with bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyUse {
    /// It decodes them and writes them to a store.
    Submissions,
    /// It passes them on to another server, and the answers to clients.
    Traffic,
}

/// The limits of one port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// The largest number of connections.
    pub max_connections: usize,
    /// The largest number of connections that wait to be accepted.
    pub backlog: u32,
    /// The size that is asked of the system for each of the two buffers of a connection, in bytes.
    pub buffer_bytes: u32,
}

impl ProcessLimits {
    /// The largest number of incoming HTTP connections on all ports.
    pub fn max_connections(&self) -> u64 {
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_PARTS / CONNECTION_BYTES;
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        by_memory.min(descriptors / INCOMING_DESCRIPTOR_PARTS)
    }

    /// The largest number of connections of other hosts.
    fn max_hosts(&self) -> u64 {
        let by_memory = self.memory_bytes / HOST_PARTS / u64::from(HOST_BUFFER_BYTES);
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        by_memory.min(descriptors / HOST_PARTS)
    }

    /// The limits of a port with this share.
    pub fn port(&self, share: PortShare) -> PortLimits {
        let all = self.max_connections();
        let connections = match share {
            PortShare::Callers => all * 3 / 4,
            PortShare::Support => all / 16,
            PortShare::Hosts => self.max_hosts(),
        };
        let connections = connections.max(MIN_CONNECTIONS);
        PortLimits {
            max_connections: connections as usize,
            backlog: connections.min(MAX_BACKLOG) as u32,
            buffer_bytes: match share {
                PortShare::Callers | PortShare::Support => CLIENT_BUFFER_BYTES,
                PortShare::Hosts => HOST_BUFFER_BYTES,
            },
        }
    }

    /// The largest size of all bodies together, in bytes.
    pub fn body_bytes(&self, use_of_bodies: BodyUse) -> u64 {
        match use_of_bodies {
            BodyUse::Submissions => self.memory_bytes / SUBMISSION_MEMORY_PARTS,
            BodyUse::Traffic => self.memory_bytes / TRAFFIC_MEMORY_PARTS,
        }
    }
}

/// A limit that closed a connection or refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitHit {
    /// A connection was closed to make room for a new one: it had been without a complete request for longest.
    Replaced,
    /// A new connection was closed since all others were being answered.
    Full,
    /// A head, or the first message of a host, did not come in time.
    HeadTime,
    /// A head was too large, or had too many fields.
    HeadSize,
    /// A client did not take its answer in time.
    AnswerTime,
    /// A body was refused or cut off since bodies held as much memory as they may.
    BodyMemory,
    /// A connection could not be accepted, mostly for want of descriptors.
    Accept,
}

impl LimitHit {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LimitHit::Replaced => "replaced",
            LimitHit::Full => "full",
            LimitHit::HeadTime => "head_time",
            LimitHit::HeadSize => "head_size",
            LimitHit::AnswerTime => "answer_time",
            LimitHit::BodyMemory => "body_memory",
            LimitHit::Accept => "accept",
        }
    }
}

/// Reports a limit that took effect on the port of this name.
pub type LimitReport = fn(port: &'static str, hit: LimitHit);
