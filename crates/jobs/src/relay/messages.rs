//! The messages between an owner and its relays.
//!
//! Messages are encoded by position, without field names: a lease renewal takes 30 bytes, whereas a separate call takes 240 bytes and
//! more, and traffic between halls is expensive. Hosts of different versions therefore can't work together; the handshake names the
//! version.

use std::fmt;
use std::net::SocketAddr;

use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::admission::LoadView;
use crate::events::{JobEvent, WorkerCall};
use crate::queues::QueueAddress;
use crate::reports::{OrderAnswer, RenewalAnswer};

/// The version of these messages. It must be raised with each change of a type in them.
pub const RELAY_VERSION: u16 = 5;
/// The most bytes in one message. 256 reports of 500 runs with 60 bytes each take 8 MB; a worker lists at most 500 runs at once.
pub const LARGEST_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The most queues whose waiting jobs an owner tells in a notice.
pub const MAX_NOTICE_QUEUES: usize = 64;

/// The first message on a connection, sent by the relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHandshake {
    /// The message version of the relay. It has to stay the first field in every version.
    pub version: u16,
    /// The relay host.
    pub host: HostId,
    /// The hall in which the host stands. The relay preferably serves workers of that hall.
    pub hall: HallId,
    /// The processor capacity of the host, in thousandths of a core.
    pub processor_millicores: u64,
}

impl RelayHandshake {
    /// Creates a handshake in this version.
    pub fn new(host: HostId, hall: HallId, processor_millicores: u64) -> Self {
        Self {
            version: RELAY_VERSION,
            host,
            hall,
            processor_millicores,
        }
    }
}

/// One order that a relay carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Identifies the order in its answer.
    pub number: u64,
    /// The worker.
    pub worker: WorkerId,
    /// The address at which the worker listens.
    pub address: SocketAddr,
    /// The call to the worker.
    pub call: WorkerCall,
}

/// The result of a relayed order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayedAnswer {
    /// The result of an order to start or stop a run or to change its pace.
    Order(OrderAnswer),
    /// The result of a lease renewal.
    Renewal(RenewalAnswer),
}

impl RelayedAnswer {
    /// Sets how much longer than the requested wait the call took at this relay, in milliseconds; only reports carry it.
    pub fn note_carrier_delay(&mut self, late_ms: Millis) {
        if let RelayedAnswer::Renewal(RenewalAnswer::Report(report)) = self {
            report.carrier_late_ms = late_ms;
        }
    }

    /// Converts the event for the answer to an owner's own call into a relayed answer; none for any other event.
    pub fn of(event: JobEvent) -> Option<Self> {
        match event {
            JobEvent::StartAnswered(_, _, answer)
            | JobEvent::StopAnswered(_, _, answer)
            | JobEvent::PaceAnswered(_, _, answer) => Some(answer.into()),
            JobEvent::RenewalAnswered(_, answer) => Some(answer.into()),
            _ => None,
        }
    }
}

impl From<RenewalAnswer> for RelayedAnswer {
    fn from(answer: RenewalAnswer) -> Self {
        RelayedAnswer::Renewal(answer)
    }
}

impl From<OrderAnswer> for RelayedAnswer {
    fn from(answer: OrderAnswer) -> Self {
        RelayedAnswer::Order(answer)
    }
}

/// The orders that an owner sends to a relay at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderBatch {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// When the orders were sent, on the owner's clock in milliseconds.
    pub sent_at: Millis,
    /// The orders.
    pub orders: Vec<RelayedOrder>,
}

/// What an owner tells the connected hosts about once for each renewal of its ownership, so that they needn't read it from the
/// store themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerNotice {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The version of the owner row after the renewal.
    pub version: u64,
    /// The sequence in the owner row after the renewal.
    pub sequence: u64,
    /// The version of the newest change of the operators' rows that the owner knows.
    pub operator_version: u64,
    /// How long the store took for the renewal, in milliseconds.
    pub store_took_ms: Millis,
    /// The number of waiting jobs of each queue that has any; none if the owner doesn't know them yet, or there are more than
    /// [`MAX_NOTICE_QUEUES`] such queues.
    pub pending: Option<Vec<(QueueAddress, u64)>>,
    /// The load of the queues with jobs that end; none if the owner publishes none, or there are more than [`MAX_NOTICE_QUEUES`] such
    /// queues.
    pub load: Option<LoadView>,
}

/// A message between an owner and a relay after the handshake. A batch of orders or answers without entries is a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Orders of the owner.
    Orders(OrderBatch),
    /// The owner has renewed its ownership. Relays don't answer this.
    Renewed(OwnerNotice),
    /// The answers to orders of an epoch, each with the number of its order.
    Answers(Epoch, Vec<(u64, RelayedAnswer)>),
    /// The relay of an epoch is about to stop: it carries out the orders that it has, and must get no more.
    Leaves(Epoch),
    /// A query of an owner that can't renew its ownership: what does the host know about the shard? Contains the epoch and the query
    /// number.
    ShardQuery(Epoch, u64),
    /// The reply to the query with this number: what the host knew about the shard when it received the query.
    ShardReply(Epoch, u64, ShardObservation),
}

/// What a host that is not the owner knows about the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardObservation {
    /// The newest epoch that the host has seen.
    pub epoch: Epoch,
    /// The time from now during which the host certainly doesn't claim the shard, in milliseconds.
    pub claims_after_ms: Millis,
}

/// Why a message, or an answer in it, is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// The message can't be decoded.
    Unreadable,
    /// The sender uses this version, which differs from ours.
    OtherVersion(u16),
    /// The message is of this epoch, which is not the epoch of the connection.
    OtherEpoch(Epoch),
    /// The message is of a kind that only the other side receives.
    Misdirected,
    /// The message answers the order with this number, which the sender doesn't carry.
    UnknownOrder(u64),
    /// The message answers the order with this number by an answer of the wrong kind.
    WrongAnswer(u64),
    /// The sender is not a known relay.
    UnknownRelay,
}

impl fmt::Display for RelayFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayFault::Unreadable => formatter.write_str("the message can't be read"),
            RelayFault::OtherVersion(version) => write!(formatter, "version {version}"),
            RelayFault::OtherEpoch(epoch) => write!(formatter, "epoch {epoch} is not served"),
            RelayFault::Misdirected => formatter.write_str("no message for this side"),
            RelayFault::UnknownOrder(number) => {
                write!(formatter, "order {number} is not under way there")
            }
            RelayFault::WrongAnswer(number) => write!(formatter, "no answer to order {number}"),
            RelayFault::UnknownRelay => formatter.write_str("an unknown relay"),
        }
    }
}

impl std::error::Error for RelayFault {}

/// Encodes a handshake.
pub fn encode_handshake(handshake: &RelayHandshake) -> Vec<u8> {
    postcard::to_stdvec(handshake).expect("plain structures always encode")
}

/// Decodes a handshake. The version is checked before the rest of the message is decoded.
///
/// # Errors
/// The handshake is of another version, or the bytes are not a handshake.
pub fn decode_handshake(bytes: &[u8]) -> Result<RelayHandshake, RelayFault> {
    let (version, _) =
        postcard::take_from_bytes::<u16>(bytes).map_err(|_| RelayFault::Unreadable)?;
    if version != RELAY_VERSION {
        return Err(RelayFault::OtherVersion(version));
    }
    decode_whole(bytes)
}

/// Encodes a message.
pub fn encode_message(message: &RelayMessage) -> Vec<u8> {
    postcard::to_stdvec(message).expect("plain structures always encode")
}

/// Decodes a message.
///
/// # Errors
/// The message can't be decoded.
pub fn decode_message(bytes: &[u8]) -> Result<RelayMessage, RelayFault> {
    decode_whole(bytes)
}

fn decode_whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, RelayFault> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(RelayFault::Unreadable),
    }
}
