//! Relays: other hosts that carry an owner's orders to workers, and the answers back.
//!
//! All decisions are made by the owner. Its main cost is not the decisions but the calls: each is a request, an answer and two wake-ups
//! on a separate connection. Therefore the other hosts connect to the owner and offer to relay calls. An owner that has more workers than
//! it can call by itself distributes them over the relays, and sends each relay many orders in one message.
//!
//! A relay has no durable state. To the scheduler an order through a relay is like any other: it is carried out, refused, or gets no
//! answer ([`OrderAnswer::Unknown`](crate::OrderAnswer::Unknown)), which is the result of all open orders of a lost relay. Orders
//! carry the owner's epoch, and workers refuse orders of an earlier epoch, whichever host sends them.
//!
//! ```
//! use sandshelf_jobs::relay::{OrderRoute, RelayDispatcher, RelayHandshake, RelayAgent};
//! use sandshelf_jobs::{RenewalAnswer, RenewalCall, OrderAnswer, WorkerCall};
//! use sandshelf_model::{HallId, HostId, WorkerId};
//!
//! // An owner with a tenth of a core and 100 workers needs a relay.
//! let mut dispatcher = RelayDispatcher::new(7, 100);
//! dispatcher.note_workers((0..100).map(|number| (WorkerId::from(format!("w-{number}")), HallId::from("north"))));
//! let handshake = RelayHandshake::new(HostId::from("entry-2"), HallId::from("north"), 500);
//! let relay = dispatcher.join(0, handshake).expect("the same version");
//!
//! let worker = WorkerId::from("w-1");
//! let call = WorkerCall::Renew(RenewalCall { deadline: None, last_seen: 0, wait_ms: 0 });
//! let address = ([10, 0, 0, 1], 80).into();
//! assert_eq!(dispatcher.route(0, &worker, address, call), OrderRoute::Relayed(relay));
//!
//! // The relay handles the order.
//! let mut agent = RelayAgent::new(7);
//! let (_, message) = dispatcher.take_messages(0).pop().expect("one message");
//! let orders = agent.handle_message(0, message).expect("orders of this epoch");
//! agent.finish(orders[0].number, RenewalAnswer::Failed(OrderAnswer::Unreachable).into());
//!
//! let answers = agent.take_answers().expect("an answer");
//! assert_eq!(dispatcher.handle_message(5, relay, answers).events.len(), 1);
//! ```

mod agent;
mod delay;
mod dispatcher;
mod messages;
mod open_order;
mod plan;
mod quorum;
mod shard_queries;
mod worker_halls;

pub use agent::RelayAgent;
pub use dispatcher::{DispatcherStats, OrderRoute, RelayDispatcher, RelayOutcome};
pub use messages::{
    decode_handshake, decode_message, encode_handshake, encode_message, OrderBatch, OwnerNotice,
    RelayFault, RelayHandshake, RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation,
    LARGEST_MESSAGE_BYTES, MAX_NOTICE_QUEUES, RELAY_VERSION,
};
pub use plan::{waits_for_relays, RelayNumber};
