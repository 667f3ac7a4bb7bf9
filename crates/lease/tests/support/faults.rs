//! The kinds of faults in a simulated run and their probabilities.

use sandshelf_model::Millis;

/// Probabilities of faults in thousandths, per message or per second of virtual time.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// A message from a host is lost before it arrives; per message.
    pub message_lost: u32,
    /// The answer to a message is lost after the message took effect; per answer.
    pub answer_lost: u32,
    /// A message or answer takes up to [`FaultRates::max_delay_ms`]; per message or answer.
    pub message_delayed: u32,
    /// A message to a worker arrives a second time, up to [`FaultRates::max_delay_ms`] after it was sent; per message.
    pub message_repeated: u32,
    /// The maximum delay of a delayed or repeated message, in milliseconds.
    pub max_delay_ms: Millis,
    /// An entry host is killed and replaced; per host and second.
    pub host_killed: u32,
    /// An entry host is frozen for some seconds; per host and second.
    pub host_frozen: u32,
    /// An entry host can't reach the store for some seconds; per host and second.
    pub host_store_partition: u32,
    /// An entry host and a worker can't reach each other for some seconds; per host, worker and second.
    ///
    /// With a quarter of this probability, a worker can't be reached by any host; per worker and second.
    pub worker_partition: u32,
    /// The store answers nobody for some seconds; per second.
    pub store_out: u32,
    /// A worker is replaced by a new one; per worker and second.
    pub worker_replaced: u32,
    /// The owner of a shard is requested to evict an attempt; per shard and second.
    pub eviction_requested: u32,
    /// The owner of a shard is requested to release it; per shard and second.
    pub release_requested: u32,
}

impl FaultRates {
    /// No faults.
    pub const NO_FAULTS: FaultRates = FaultRates {
        message_lost: 0,
        answer_lost: 0,
        message_delayed: 0,
        message_repeated: 0,
        max_delay_ms: 0,
        host_killed: 0,
        host_frozen: 0,
        host_store_partition: 0,
        worker_partition: 0,
        store_out: 0,
        worker_replaced: 0,
        eviction_requested: 0,
        release_requested: 0,
    };

    /// Every kind of fault occurs from time to time; several may coincide.
    pub const ALL_FAULTS: FaultRates = FaultRates {
        message_lost: 20,
        answer_lost: 20,
        message_delayed: 20,
        message_repeated: 20,
        max_delay_ms: 25_000,
        host_killed: 15,
        host_frozen: 25,
        host_store_partition: 25,
        worker_partition: 40,
        store_out: 10,
        worker_replaced: 8,
        eviction_requested: 150,
        release_requested: 10,
    };
}
