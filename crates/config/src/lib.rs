//! Declarative files and daemon settings: parsing, checks, digests and differences.
//!
//! Files are JSON with comments. All faults of all files are reported together, each with
//! file, line, column and remedy. A set with any fault is rejected as a whole.
//!
//! ```
//! use sandshelf_config::{parse_set, SourceFile};
//! let file = SourceFile::new("teams.jsonc", "{ \"teams\": [] } // none yet");
//! let set = parse_set(&[file]).unwrap();
//! assert!(set.teams.is_empty());
//! ```

mod check;
mod diff;
mod draft;
mod fault;
mod intent;
mod job_settings;
mod load;
mod parse;
mod reader;
mod settings;

pub use diff::{difference, ChangeKind, SetChange};
pub use fault::{ConfigFault, FaultList};
pub use intent::{
    BackendLimits, ConfigSet, JobKind, JobSpec, PolicyWeights, ServiceSpec, TeamQuota, UrgencyLevel,
};
pub use job_settings::{parse_job_settings, JobSettings, MachineApi, OrderWay};
pub use load::{read_directory, read_paths, MAX_SET_BYTES};
pub use parse::parse_set;
pub use reader::SourceFile;
pub use settings::{parse_settings, DaemonSettings, TimeLimits};
