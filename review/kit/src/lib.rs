//! Stand-ins of the platform, and what the cases of the review share. Only the standard library is used.

pub mod http;
pub mod json;
pub mod record;
pub mod rules;
pub mod store;
pub mod system;
pub mod worker;
