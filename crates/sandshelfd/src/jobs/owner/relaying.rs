//! The owner's side of relays, the hosts that carry its orders to workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use sandshelf_config::JobSettings;
use sandshelf_jobs::relay::{
    DispatcherStats, OrderRoute, RelayDispatcher, RelayHandshake, RelayMessage, RelayOutcome,
};
use sandshelf_jobs::{JobEvent, JobNote, WorkerCall, WorkerListing, WorkerRoster};
use sandshelf_lease::{LeaseStage, ShardRow};
use sandshelf_model::{Epoch, HallId, Millis, WorkerId};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use super::{OwnerLoop, MAX_EVENT_BATCH};
use crate::clock;
use crate::jobs::agent::OwnerEndpoint;
use crate::jobs::meters;
use crate::jobs::notes::log_note;
use crate::jobs::relays::{LinkNumber, RelayEvent, RelayLinks};
use crate::logging::event;

/// Hosts that offer to relay orders, by connection.
pub(super) type RelayOffers = BTreeMap<LinkNumber, (RelayHandshake, UnboundedSender<Bytes>)>;

/// The relays of the shard while this host owns it.
pub(super) struct RelayPool {
    dispatcher: RelayDispatcher,
    links: RelayLinks,
    /// The epoch of a newer owner, if a relay has seen one.
    pub(super) newer_epoch: Option<Epoch>,
}

impl RelayPool {
    /// Creates the pool from the hosts that have offered to relay, for the workers that an earlier owner may have given orders to.
    pub(super) fn new(
        now: Millis,
        epoch: Epoch,
        settings: &JobSettings,
        roster: &WorkerRoster,
        offers: RelayOffers,
    ) -> Self {
        let mut pool = Self {
            dispatcher: RelayDispatcher::new(epoch, settings.processor_millicores),
            links: RelayLinks::default(),
            newer_epoch: None,
        };
        let workers = roster.workers.iter();
        let workers = workers.map(|(worker, _)| (worker.clone(), HallId::from("")));
        pool.dispatcher.note_workers(workers);
        for (link, (handshake, outbox)) in offers {
            pool.join(now, link, handshake, outbox);
        }
        pool
    }

    pub(super) fn stats(&self) -> DispatcherStats {
        self.dispatcher.stats()
    }

    /// Records the workers of the lists among these events.
    pub(super) fn note_worker_lists(&mut self, events: &[JobEvent]) {
        for event in events {
            let place = |entry: &WorkerListing| (entry.worker.clone(), entry.hall.clone());
            match event {
                JobEvent::WorkersListed(list) => {
                    self.dispatcher.note_workers(list.iter().map(place));
                }
                JobEvent::WorkersChanged(changes) => {
                    let listed = changes.listed.iter().map(place);
                    self.dispatcher
                        .note_worker_changes(listed, &changes.removed);
                }
                _ => {}
            }
        }
    }

    /// Queues an order for a relay, or returns it if this host has to call the worker itself.
    pub(super) fn route(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        address: SocketAddr,
        call: WorkerCall,
    ) -> Option<WorkerCall> {
        match self.dispatcher.route(now, worker, address, call) {
            OrderRoute::Direct(call) => Some(call),
            OrderRoute::Relayed(_) => None,
        }
    }

    fn join(
        &mut self,
        now: Millis,
        link: LinkNumber,
        handshake: RelayHandshake,
        outbox: UnboundedSender<Bytes>,
    ) -> Vec<JobEvent> {
        let host = handshake.host.clone();
        let hall = handshake.hall.clone();
        let relay = match self.dispatcher.join(now, handshake) {
            Ok(relay) => relay,
            Err(fault) => {
                event("relay_refused", &[("link", &link), ("fault", &fault)]);
                return Vec::new();
            }
        };
        event("relay_came", &[("host", &host), ("hall", &hall)]);
        let replaced = self.links.add(link, relay, host, outbox);
        replaced.map_or(Vec::new(), |earlier| self.dispatcher.leave(now, earlier))
    }

    fn leave(&mut self, now: Millis, link: LinkNumber) -> Vec<JobEvent> {
        let Some(relay) = self.links.remove(link) else {
            return Vec::new();
        };
        let events = self.dispatcher.leave(now, relay);
        event(
            "relay_left",
            &[("link", &link), ("unanswered", &events.len())],
        );
        events
    }

    fn handle_message(
        &mut self,
        now: Millis,
        link: LinkNumber,
        message: RelayMessage,
    ) -> Vec<JobEvent> {
        let Some(relay) = self.links.relay(link) else {
            return Vec::new();
        };
        let outcome = self.dispatcher.handle_message(now, relay, message);
        self.newer_epoch = self.newer_epoch.max(outcome.newer_epoch);
        self.handle_outcome(outcome)
    }

    fn tick(&mut self, now: Millis) -> Vec<JobEvent> {
        let outcome = self.dispatcher.tick(now);
        for (relay, heartbeat) in self.dispatcher.take_heartbeats(now) {
            self.links.send(relay, &heartbeat);
        }
        self.handle_outcome(outcome)
    }

    fn handle_outcome(&mut self, outcome: RelayOutcome) -> Vec<JobEvent> {
        for fault in &outcome.faults {
            meters::record_relay_fault(*fault);
            event("relay_answer_refused", &[("fault", fault)]);
        }
        for relay in &outcome.lost {
            self.links.close(*relay);
            event("relay_lost", &[("unanswered", &outcome.events.len())]);
        }
        outcome.events
    }

    /// Queries the relays about what they know of the shard.
    pub(super) fn query_relays(&mut self, now: Millis, renewed_at: Millis, renewed_until: Millis) {
        for (relay, query) in self.dispatcher.ask(now, renewed_at, renewed_until) {
            self.links.send(relay, &query);
        }
    }

    /// The time before which nobody claims the shard, according to the relays; none if they don't rule out a claim.
    pub(super) fn unclaimed_until(&self, now: Millis, own_hall: &HallId) -> Option<Millis> {
        self.dispatcher.unclaimed_until(now, own_hall)
    }

    /// Sends a message to all connected hosts.
    pub(super) fn tell_all(&self, message: &RelayMessage) {
        self.links.send_to_all(message);
    }

    fn send_orders(&mut self, now: Millis) {
        for (relay, message) in self.dispatcher.take_messages(now) {
            self.links.send(relay, &message);
        }
    }
}

impl OwnerLoop {
    /// Handles an event of a relay together with those that have arrived since.
    pub(super) fn handle_relay_events(
        &mut self,
        first: RelayEvent,
        inbox: &mut UnboundedReceiver<RelayEvent>,
    ) {
        let mut events = Vec::new();
        let mut next = Some(first);
        while let Some(relay_event) = next {
            events.extend(self.handle_relay_event(relay_event));
            if events.len() >= MAX_EVENT_BATCH {
                break;
            }
            next = inbox.try_recv().ok();
        }
        self.apply_events(events);
    }

    fn handle_relay_event(&mut self, relay_event: RelayEvent) -> Vec<JobEvent> {
        let now = clock::now();
        match (&mut self.owned, relay_event) {
            (Some(owned), RelayEvent::Connected(link, handshake, outbox)) => {
                owned.relays.join(now, link, handshake, outbox)
            }
            (Some(owned), RelayEvent::MessageReceived(link, message)) => {
                owned.relays.handle_message(now, link, message)
            }
            (Some(owned), RelayEvent::Disconnected(link)) => owned.relays.leave(now, link),
            (Some(owned), RelayEvent::Refused) => {
                owned.relays.dispatcher.note_refused(now);
                Vec::new()
            }
            (None, RelayEvent::Connected(link, handshake, outbox)) => {
                // A host without the shard has nothing to relay; dropping the outbox ends the connection.
                if *self.lease.stage() != LeaseStage::Watching {
                    self.offers.insert(link, (handshake, outbox));
                }
                Vec::new()
            }
            (None, RelayEvent::MessageReceived(..) | RelayEvent::Refused) => Vec::new(),
            (None, RelayEvent::Disconnected(link)) => {
                self.offers.remove(&link);
                Vec::new()
            }
        }
    }

    /// Sends the queued orders to the relays.
    pub(super) fn send_relay_orders(&mut self) {
        if let Some(owned) = &mut self.owned {
            owned.relays.send_orders(clock::now());
        }
    }

    /// Runs the periodic work on relays, and updates the owner that this host relays orders for.
    pub(super) fn tick_relays(&mut self, now: Millis) {
        if let Some((epoch, published)) = self.published.take() {
            self.apply_published(epoch, published);
        }
        if *self.lease.stage() == LeaseStage::Watching {
            self.offers.clear();
        }
        if let Some(owned) = &mut self.owned {
            let events = owned.relays.tick(now);
            self.apply_events(events);
        }
        // Without a row, as when the store is out, this host goes on relaying for the last known owner.
        let Some(seen) = self.lease.row() else {
            return;
        };
        let endpoint = self.owner_endpoint(&seen.row);
        self.served_owner.send_if_modified(|current| {
            let changed = *current != endpoint;
            *current = endpoint;
            changed
        });
    }

    /// The address at which the owner takes relays, by its row; none if this host owns the shard, nobody does, or the owner
    /// takes no relays.
    fn owner_endpoint(&self, row: &ShardRow) -> Option<OwnerEndpoint> {
        let owner = row.owner.clone().filter(|owner| *owner != self.host)?;
        Some(OwnerEndpoint {
            owner,
            epoch: row.epoch,
            address: row.relay_address?,
        })
    }

    /// Logs a decision of the scheduler, with the host that relays the order, and for a finished job with its summary.
    pub(super) fn log_note(&mut self, note: &JobNote) {
        let Some(owned) = &mut self.owned else {
            return log_note(note, None, None);
        };
        let summary = owned.summaries.note(clock::now(), note);
        let carrier = match note {
            JobNote::Placed { worker, .. } => owned.relays.dispatcher.carrier(worker),
            _ => None,
        };
        log_note(note, carrier, summary.as_deref());
    }
}
