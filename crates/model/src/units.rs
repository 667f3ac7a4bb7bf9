//! Type aliases for numbers that have a unit.

/// A time or a duration in milliseconds. Times are on the monotonic clock of the process that holds the value.
pub type Millis = u64;

/// The number of owners that a shard has had; never decreases.
pub type Epoch = u64;

/// The number of durable writes within a shard; never decreases.
pub type Sequence = u64;

/// The number of configurations that were accepted; never decreases.
pub type Revision = u64;
