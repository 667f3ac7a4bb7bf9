//! Other hosts carry an owner's orders to workers, and their answers back.
//!
//! An owner decides alone. What costs it most is not the deciding but the calls: each is a request, an answer and two wake-ups on
//! a connection of its own. So the other hosts connect to the owner and offer themselves; an owner that has more workers than it
//! can call by itself deals them out, and tells each host many orders in one message.
//!
//! A relay holds nothing that lasts. To the scheduler an order that goes through one is an order like any other: it is
//! carried out, refused, or gets no answer ([`OrderAnswer::Unknown`](crate::OrderAnswer::Unknown)), which is what becomes of all
//! that a lost relay had under way. Orders name the owner's epoch, and workers refuse those of an epoch that is over, whoever
//! brings them.
//!
//! ```
//! use sandshelf_jobs::relay::{OrderRoute, RelayDispatcher, RelayHandshake, RelayAgent};
//! use sandshelf_jobs::{RenewalAnswer, RenewalCall, OrderAnswer, WorkerCall};
//! use sandshelf_model::{HallId, HostId, WorkerId};
//!
//! // An owner with a tenth of a core and 100 workers needs help.
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
//! // What the relay does with it.
//! let mut agent = RelayAgent::new(7);
//! let (_, message) = dispatcher.take_messages(0).pop().expect("one message");
//! let orders = agent.handle_message(0, message).expect("orders of this epoch");
//! agent.finish(orders[0].number, RenewalAnswer::Failed(OrderAnswer::Unreachable).into());
//!
//! let answers = agent.take_answers().expect("an answer");
//! assert_eq!(dispatcher.handle_message(5, relay, answers).events.len(), 1);
//! ```

mod agent;
mod dispatcher;
mod messages;
mod quorum;
mod share;
mod way;

pub use agent::RelayAgent;
pub use dispatcher::{DispatcherStats, OrderRoute, RelayDispatcher, RelayNumber, RelayOutcome};
pub use messages::{
    decode_handshake, decode_message, encode_handshake, encode_message, OrderBatch, RelayFault,
    RelayHandshake, RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation,
    LARGEST_MESSAGE_BYTES, RELAY_VERSION,
};
pub use share::waits_for_relays;
