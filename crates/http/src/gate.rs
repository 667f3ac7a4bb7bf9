//! Bounds the connections of a port on which another protocol is spoken.

use std::sync::Arc;

use crate::connections::{ConnectionState, ConnectionTable};
use crate::limits::{LimitHit, LimitReport, PortLimits};

/// Admits the connections of other hosts to a port.
///
/// At the limit, the connection that has been without a whole first message for longest is closed for a new one.
#[derive(Clone, Debug)]
pub struct HostGate(Arc<ConnectionTable>);

/// A connection that was admitted; its place is free once it is dropped.
#[derive(Debug)]
pub struct AdmittedHost(ConnectionState);

impl HostGate {
    /// Creates the gate of a port; `report` is called for each limit that takes effect.
    pub fn new(port: &'static str, limits: &PortLimits, report: LimitReport) -> Self {
        let table = ConnectionTable::new(port, report, limits.max_connections);
        Self(Arc::new(table))
    }

    /// Admits a new connection; none if all others have had their first message.
    pub async fn admit(&self) -> Option<AdmittedHost> {
        let place = self.0.take_place().await?;
        Some(AdmittedHost(ConnectionState::new(self.0.clone(), place)))
    }

    /// Reports a limit that took effect.
    pub fn report(&self, hit: LimitHit) {
        self.0.report(hit);
    }
}

impl AdmittedHost {
    /// Notes that the first message has come: the connection makes no more room for others. False if it is being closed already.
    pub fn keep(&self) -> bool {
        self.0.begin_answer()
    }

    /// Completes once the connection has to be closed to make room for another.
    pub async fn replaced(&self) {
        self.0.replaced().await;
    }

    /// Reports a limit that ends the connection.
    pub fn report(&self, hit: LimitHit) {
        self.0.report(hit);
    }
}
