//! What the owner's thread does with the hosts that carry its orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use sandshelf_config::JobSettings;
use sandshelf_jobs::relay::{
    DispatcherStats, OrderRoute, RelayDispatcher, RelayHandshake, RelayMessage, RelayOutcome,
};
use sandshelf_jobs::{JobEvent, JobNote, WorkerCall, WorkerRoster};
use sandshelf_lease::{LeaseStage, ShardRow};
use sandshelf_model::{Epoch, HallId, Millis, WorkerId};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use super::{OwnerLoop, EVENTS_AT_ONCE};
use crate::clock;
use crate::jobs::meters;
use crate::jobs::notes::log_note;
use crate::jobs::relays::{LinkNumber, RelayLinks, RelayNews};
use crate::jobs::station::OwnerPlace;
use crate::logging::event;

/// Hosts that offer to carry orders, by connection.
pub(super) type RelayOffers = BTreeMap<LinkNumber, (RelayHandshake, UnboundedSender<Bytes>)>;

/// The relays of a shard that this host owns.
pub(super) struct RelayPool {
    desk: RelayDispatcher,
    links: RelayLinks,
    /// The epoch of an owner that has followed, where a host has seen one.
    pub(super) newer_epoch: Option<Epoch>,
}

impl RelayPool {
    /// Takes in the hosts that have come, for workers that an earlier owner may have given orders to.
    pub(super) fn new(
        now: Millis,
        epoch: Epoch,
        settings: &JobSettings,
        roster: &WorkerRoster,
        offers: RelayOffers,
    ) -> Self {
        let mut pool = Self {
            desk: RelayDispatcher::new(epoch, settings.processor_millicores),
            links: RelayLinks::default(),
            newer_epoch: None,
        };
        let known = roster.workers.iter();
        let known = known.map(|(worker, _)| (worker.clone(), HallId::from("")));
        pool.desk.note_workers(known);
        for (link, (greeting, outbox)) in offers {
            pool.join(now, link, greeting, outbox);
        }
        pool
    }

    pub(super) fn figures(&self) -> DispatcherStats {
        self.desk.stats()
    }

    /// Notes the workers of lists among these events.
    pub(super) fn note_lists(&mut self, events: &[JobEvent]) {
        for event in events {
            if let JobEvent::WorkersListed(list) = event {
                let places = list.iter();
                let places = places.map(|entry| (entry.worker.clone(), entry.hall.clone()));
                self.desk.note_workers(places);
            }
        }
    }

    /// Puts an order among those that a relay is told next; gives it back where this host calls the worker itself.
    pub(super) fn carry(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        address: SocketAddr,
        call: WorkerCall,
    ) -> Option<WorkerCall> {
        match self.desk.route(now, worker, address, call) {
            OrderRoute::Direct(call) => Some(call),
            OrderRoute::Relayed(_) => None,
        }
    }

    fn join(
        &mut self,
        now: Millis,
        link: LinkNumber,
        greeting: RelayHandshake,
        outbox: UnboundedSender<Bytes>,
    ) -> Vec<JobEvent> {
        let host = greeting.host.clone();
        let hall = greeting.hall.clone();
        let relay = match self.desk.join(now, greeting) {
            Ok(relay) => relay,
            Err(fault) => {
                event("relay_refused", &[("link", &link), ("fault", &fault)]);
                return Vec::new();
            }
        };
        event("relay_came", &[("host", &host), ("hall", &hall)]);
        let replaced = self.links.add(link, relay, host, outbox);
        replaced.map_or(Vec::new(), |earlier| self.desk.leave(now, earlier))
    }

    fn leave(&mut self, now: Millis, link: LinkNumber) -> Vec<JobEvent> {
        let Some(relay) = self.links.remove(link) else {
            return Vec::new();
        };
        let events = self.desk.leave(now, relay);
        event(
            "relay_left",
            &[("link", &link), ("unanswered", &events.len())],
        );
        events
    }

    fn take(&mut self, now: Millis, link: LinkNumber, message: RelayMessage) -> Vec<JobEvent> {
        let Some(relay) = self.links.relay(link) else {
            return Vec::new();
        };
        let intake = self.desk.handle_message(now, relay, message);
        self.newer_epoch = self.newer_epoch.max(intake.newer_epoch);
        self.finish_intake(intake)
    }

    fn tick(&mut self, now: Millis) -> Vec<JobEvent> {
        let intake = self.desk.tick(now);
        for (relay, beat) in self.desk.take_heartbeats(now) {
            self.links.send(relay, &beat);
        }
        self.finish_intake(intake)
    }

    fn finish_intake(&mut self, intake: RelayOutcome) -> Vec<JobEvent> {
        for fault in &intake.faults {
            meters::note_relay_fault(*fault);
            event("relay_answer_refused", &[("fault", fault)]);
        }
        for relay in &intake.lost {
            self.links.close(*relay);
            event("relay_lost", &[("unanswered", &intake.events.len())]);
        }
        intake.events
    }

    /// Asks the hosts what they know of the shard.
    pub(super) fn ask(&mut self, now: Millis, renewed_at: Millis, renewed_until: Millis) {
        for (relay, question) in self.desk.ask(now, renewed_at, renewed_until) {
            self.links.send(relay, &question);
        }
    }

    /// Before when nobody claims the shard, by what they say.
    pub(super) fn unclaimed_until(&self, now: Millis, own_hall: &HallId) -> Option<Millis> {
        self.desk.unclaimed_until(now, own_hall)
    }

    fn tell(&mut self, now: Millis) {
        for (relay, message) in self.desk.take_messages(now) {
            self.links.send(relay, &message);
        }
    }
}

impl OwnerLoop {
    /// Takes in what relays say, and with it what has come meanwhile.
    pub(super) fn take_relay_news(
        &mut self,
        first: RelayNews,
        inbox: &mut UnboundedReceiver<RelayNews>,
    ) {
        let mut events = Vec::new();
        let mut next = Some(first);
        while let Some(news) = next {
            events.extend(self.take_one_relay_news(news));
            if events.len() >= EVENTS_AT_ONCE {
                break;
            }
            next = inbox.try_recv().ok();
        }
        self.take_events(events);
    }

    fn take_one_relay_news(&mut self, news: RelayNews) -> Vec<JobEvent> {
        let now = clock::now();
        match (&mut self.owned, news) {
            (Some(owned), RelayNews::Came(link, greeting, outbox)) => {
                owned.relays.join(now, link, greeting, outbox)
            }
            (Some(owned), RelayNews::Said(link, message)) => owned.relays.take(now, link, message),
            (Some(owned), RelayNews::Left(link)) => owned.relays.leave(now, link),
            (Some(owned), RelayNews::Refused) => {
                owned.relays.desk.note_refused(now);
                Vec::new()
            }
            (None, RelayNews::Came(link, greeting, outbox)) => {
                // Without the shard there is nothing to carry, and the connection ends with its outbox.
                if *self.lease.stage() != LeaseStage::Watching {
                    self.offers.insert(link, (greeting, outbox));
                }
                Vec::new()
            }
            (None, RelayNews::Said(..) | RelayNews::Refused) => Vec::new(),
            (None, RelayNews::Left(link)) => {
                self.offers.remove(&link);
                Vec::new()
            }
        }
    }

    /// Tells relays the orders that wait.
    pub(super) fn tell_relays(&mut self) {
        if let Some(owned) = &mut self.owned {
            owned.relays.tell(clock::now());
        }
    }

    /// Looks after relays, and after whom this host is one for.
    pub(super) fn tick_relays(&mut self, now: Millis) {
        if let Some((epoch, published)) = self.published.take() {
            self.take_published(epoch, published);
        }
        if *self.lease.stage() == LeaseStage::Watching {
            self.offers.clear();
        }
        if let Some(owned) = &mut self.owned {
            let events = owned.relays.tick(now);
            self.take_events(events);
        }
        // Where the store is out and no row is in view, the last owner known goes on needing this host.
        let Some(seen) = self.lease.row() else {
            return;
        };
        let place = self.owner_place(&seen.row);
        self.serves.send_if_modified(|current| {
            let changed = *current != place;
            *current = place;
            changed
        });
    }

    /// Where another host that owns the shard takes connections, by the row in view.
    fn owner_place(&self, row: &ShardRow) -> Option<OwnerPlace> {
        let owner = row.owner.clone().filter(|owner| *owner != self.host)?;
        Some(OwnerPlace {
            owner,
            epoch: row.epoch,
            address: row.relay_address?,
        })
    }

    /// Logs what the scheduler decided, with the host that carries the order, and with a job's end what happened to it.
    pub(super) fn log_note(&mut self, note: &JobNote) {
        let Some(owned) = &mut self.owned else {
            return log_note(note, None, None);
        };
        let story = owned.stories.note(clock::now(), note);
        let carrier = match note {
            JobNote::Placed { worker, .. } => owned.relays.desk.carrier(worker),
            _ => None,
        };
        log_note(note, carrier, story.as_deref());
    }
}
