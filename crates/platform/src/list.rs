//! The platform's list of hosts, which lags behind the actual state.

use std::net::SocketAddr;

use sandshelf_model::{HallId, RackId, ResourceSize, ServerId, ServiceId, WorkerId};
use serde::{Deserialize, Serialize};

/// The kind of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// A worker, with its capacity and the services that have backend servers on it.
    Worker {
        /// The total capacity of the worker.
        capacity: ResourceSize,
        /// The services on the worker, each with the resources that it takes.
        services: Vec<(ServiceId, ResourceSize)>,
    },
    /// A backend server of a service, on a worker.
    Backend {
        /// The service that the server belongs to.
        service: ServiceId,
        /// The worker on which the server runs.
        worker: WorkerId,
    },
    /// The daemon of an entry host.
    Entry,
}

/// Whether a host is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is available.
    Live,
    /// The host is shutting down.
    Leaving,
    /// This incarnation of the host has ended and never returns.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of this incarnation of the host.
    pub name: String,
    /// The kind of the host.
    pub kind: HostKind,
    /// The hall in which the host stands.
    pub hall: HallId,
    /// The rack in which the host stands.
    pub rack: RackId,
    /// The address at which the host listens.
    pub address: SocketAddr,
    /// Whether the host is available.
    pub state: HostState,
}

impl HostEntry {
    /// Returns the entry's name as the ID of a worker.
    pub fn worker_id(&self) -> WorkerId {
        WorkerId::from(self.name.as_str())
    }

    /// Returns the entry's name as the ID of a backend server.
    pub fn server_id(&self) -> ServerId {
        ServerId::from(self.name.as_str())
    }
}

/// One version of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The version of the list, which grows with each change. The platform may still return an older list than before.
    pub as_of: u64,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}
