//! The order of waiting tasks.

use sandshelf_model::Millis;

use crate::ids::TaskKey;

/// A task that waits for a worker; a gang is represented by its first task. The order is by urgency, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitKey {
    pub(crate) priority: u32,
    pub(crate) objective_at: Millis,
    pub(crate) task: TaskKey,
}
