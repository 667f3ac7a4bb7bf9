//! Resource sizes of tasks and machines.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The processors, memory and accelerators that a task needs or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceSize {
    /// Processor capacity in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    pub accelerators: u64,
}

/// The reason why two sizes could not be added or subtracted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeError {
    /// The sum of a dimension exceeds `u64::MAX`.
    Overflow,
    /// More was subtracted from a dimension than it holds.
    Underflow,
}

impl fmt::Display for SizeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SizeError::Overflow => formatter.write_str("the sum of the sizes overflows"),
            SizeError::Underflow => formatter.write_str("more was released than was reserved"),
        }
    }
}

impl std::error::Error for SizeError {}

impl ResourceSize {
    /// Creates a size from thousandths of a core, mebibytes of memory and whole accelerators.
    pub const fn new(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether this size is at most `room` in every dimension.
    pub fn fits_in(&self, room: &ResourceSize) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Adds `other` in each dimension; fails with [`SizeError::Overflow`] if a dimension overflows.
    pub fn plus(&self, other: &ResourceSize) -> Result<ResourceSize, SizeError> {
        self.combine(other, u64::checked_add, SizeError::Overflow)
    }

    /// Subtracts `other` in each dimension; fails with [`SizeError::Underflow`] if a dimension of `other` is larger.
    pub fn minus(&self, other: &ResourceSize) -> Result<ResourceSize, SizeError> {
        self.combine(other, u64::checked_sub, SizeError::Underflow)
    }

    /// Subtracts `other` in each dimension; a result below zero becomes zero.
    pub fn saturating_minus(&self, other: &ResourceSize) -> ResourceSize {
        ResourceSize {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger of the two values in each dimension.
    pub fn max_with(&self, other: &ResourceSize) -> ResourceSize {
        ResourceSize {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    fn combine(
        &self,
        other: &ResourceSize,
        operation: fn(u64, u64) -> Option<u64>,
        error: SizeError,
    ) -> Result<ResourceSize, SizeError> {
        Ok(ResourceSize {
            cpu_millis: operation(self.cpu_millis, other.cpu_millis).ok_or(error)?,
            memory_mib: operation(self.memory_mib, other.memory_mib).ok_or(error)?,
            accelerators: operation(self.accelerators, other.accelerators).ok_or(error)?,
        })
    }
}

impl fmt::Display for ResourceSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}m cpu, {} MiB, {} acc",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}
