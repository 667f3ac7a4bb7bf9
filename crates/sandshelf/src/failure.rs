//! Failures of a command, with an exit code for each kind.

use sandshelf_config::FaultList;
use sandshelf_platform::StoreFault;

/// Kinds of failure; each has its own exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The platform or an entry host can't be reached, or a stored row, a stored set or a log can't be read.
    Unreachable,
    /// The command line or the environment is invalid.
    Usage,
    /// The files have faults; nothing was changed.
    Faults,
    /// Another operator's change was accepted first, or another revision than the expected one is in force; nothing was changed.
    LostRace,
    /// It is unknown whether the change was accepted.
    Unknown,
    /// The named job, task, class, worker or entry host does not exist.
    Missing,
}

impl FailureKind {
    /// Returns the process exit code.
    pub fn code(self) -> u8 {
        match self {
            FailureKind::Unreachable => 1,
            FailureKind::Usage => 2,
            FailureKind::Faults => 3,
            FailureKind::LostRace => 4,
            FailureKind::Unknown => 5,
            FailureKind::Missing => 6,
        }
    }
}

/// A failure as it is reported to the operator.
#[derive(Clone, Debug)]
pub struct CommandFailure {
    /// The kind, which determines the exit code.
    pub kind: FailureKind,
    /// What went wrong and how to correct it.
    pub message: String,
}

impl CommandFailure {
    /// Creates a failure of `kind`.
    pub fn new(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }
}

impl From<FaultList> for CommandFailure {
    fn from(faults: FaultList) -> Self {
        Self::new(FailureKind::Faults, faults.to_string())
    }
}

impl From<StoreFault> for CommandFailure {
    fn from(fault: StoreFault) -> Self {
        let message = format!("{fault}; check --platform and the platform's state, then try again");
        Self::new(FailureKind::Unreachable, message)
    }
}

impl From<lexopt::Error> for CommandFailure {
    fn from(error: lexopt::Error) -> Self {
        let message = format!("{error}; see sandshelf --help");
        Self::new(FailureKind::Usage, message)
    }
}
