//! Names of enum variants in the log and in metrics.

use std::fmt::Debug;

/// The name of an enum variant in lower case, as log values and metric labels have it.
pub(super) fn label<T: Debug>(value: &T) -> String {
    format!("{value:?}").to_ascii_lowercase()
}
