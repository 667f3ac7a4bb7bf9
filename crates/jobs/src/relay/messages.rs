//! What an owner and its relays tell each other.
//!
//! Messages are encoded by position without names: an order to hold a worker takes 30 bytes where a call of its own takes 240
//! and more, and bytes between halls are dear. So hosts of different versions can't share work: the first message names the version.

use std::fmt;
use std::net::SocketAddr;

use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::events::{JobEvent, WorkerCall};
use crate::reports::{OrderAnswer, RenewalAnswer};

/// The version of these messages; to be raised with each change of a type in them.
pub const RELAY_VERSION: u16 = 3;
/// The most bytes of one message: 256 reports of 500 runs, the most that a worker lists at once, with 60 bytes each are 8 MB.
pub const LARGEST_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// What a relay says first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHandshake {
    /// The version that it speaks; stays the first field of every version.
    pub version: u16,
    /// The host.
    pub host: HostId,
    /// The hall that it stands in: it had better carry orders to workers there.
    pub hall: HallId,
    /// What it has of a processor core, in thousandths.
    pub processor_millis: u64,
}

impl RelayHandshake {
    /// A greeting in this version.
    pub fn new(host: HostId, hall: HallId, processor_millis: u64) -> Self {
        Self {
            version: RELAY_VERSION,
            host,
            hall,
            processor_millis,
        }
    }
}

/// One order on its way through a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Names the order in its answer.
    pub number: u64,
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The order.
    pub call: WorkerCall,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayedAnswer {
    /// To an order to start, to stop or to change a pace.
    Order(OrderAnswer),
    /// To a hold.
    Renewal(RenewalAnswer),
}

impl RelayedAnswer {
    /// Notes by how much longer than asked the call took here.
    pub fn note_carrier_delay(&mut self, late_ms: Millis) {
        if let RelayedAnswer::Renewal(RenewalAnswer::Report(report)) = self {
            report.carrier_late_ms = late_ms;
        }
    }

    /// What an answer to an owner's own call is on its way through a relay; none for any other event.
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

/// Orders of one turn of an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderBatch {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// When they were sent, on the owner's clock in milliseconds.
    pub sent_at: Millis,
    /// The orders.
    pub orders: Vec<RelayedOrder>,
}

/// Whatever goes between an owner and a relay behind the greeting; a message without entries only says that the sender lives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// An owner's orders.
    Orders(OrderBatch),
    /// The answers to orders of an epoch, each with the order's number.
    Answers(Epoch, Vec<(u64, RelayedAnswer)>),
    /// A relay is about to stop: it carries out what it was given, and is to be given no more.
    Leaves(Epoch),
    /// An owner that can't renew its ownership asks what a host knows of the shard, by a question of this number.
    ShardQuery(Epoch, u64),
    /// What a host knew of the shard when that question came.
    ShardReply(Epoch, u64, ShardObservation),
}

/// What a host that is not the owner knows of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardObservation {
    /// The newest epoch that it has seen.
    pub epoch: Epoch,
    /// How long it certainly doesn't claim the shard from now on, in milliseconds.
    pub claims_after_ms: Millis,
}

/// Why a message changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// It can't be read.
    Unreadable,
    /// It is of this version, which isn't ours.
    OtherVersion(u16),
    /// It is of this epoch, which isn't the one that the connection serves.
    OtherEpoch(Epoch),
    /// It is no message for this side.
    Misdirected,
    /// It answers an order of this number, which the sender doesn't carry.
    UnknownOrder(u64),
    /// It answers the order of this number with what can't be an answer to it.
    WrongAnswer(u64),
    /// The sender is not known.
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

/// Encodes a greeting.
pub fn encode_handshake(handshake: &RelayHandshake) -> Vec<u8> {
    postcard::to_stdvec(handshake).expect("plain structures always encode")
}

/// Decodes a greeting; one of another version is told apart before the rest of it is read.
///
/// # Errors
/// Another version, or no greeting at all.
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
/// It can't be read.
pub fn decode_message(bytes: &[u8]) -> Result<RelayMessage, RelayFault> {
    decode_whole(bytes)
}

fn decode_whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, RelayFault> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(RelayFault::Unreadable),
    }
}
