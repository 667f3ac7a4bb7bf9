//! Faults in declarative files and settings, as they are reported to the operator.

use std::fmt;

use serde::Serialize;

/// One fault: its position, the problem, and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigFault {
    /// The path of the file, as the operator gave it or joined to the directory that the operator gave.
    pub file: String,
    /// Line, counted from 1; 0 if the fault concerns the whole file or directory.
    pub line: usize,
    /// Column in characters, counted from 1; 0 if the fault concerns the whole file or directory.
    pub column: usize,
    /// What is wrong; quotes the invalid input.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}:{}: {}; {}",
            self.file, self.line, self.column, self.problem, self.remedy
        )
    }
}

/// All faults of a set or of a settings file. Faults of single declarations come first, in the order of the files; faults across
/// declarations follow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultList {
    /// The faults.
    pub faults: Vec<ConfigFault>,
}

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(formatter, "{fault}")?;
        }
        write!(
            formatter,
            "{} fault(s); nothing was changed",
            self.faults.len()
        )
    }
}

impl std::error::Error for FaultList {}
