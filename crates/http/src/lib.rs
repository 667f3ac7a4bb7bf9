//! An HTTP/1 server that bounds what its clients can make the process hold: connections, heads, bodies and answers.
//!
//! All bounds derive from the memory and the descriptors of the process, see [`ProcessLimits`]. Within them, whoever waits longest makes
//! room: a new connection replaces the one that has been without a complete request for longest, and a new body replaces the one that has
//! been arriving for longest. So a crowd of clients that stall can't shut out others.

mod body;
mod budget;
mod connections;
mod gate;
mod limits;
mod server;
mod stream;

pub use body::{BodyFault, BodyLimit, RelayedBody, RequestBody};
pub use budget::BodyBudget;
pub use gate::{AdmittedHost, HostGate};
pub use limits::{BodyUse, LimitHit, LimitReport, PortLimits, PortShare, ProcessLimits};
pub use server::{
    listen, plain_answer, text_answer, HttpAnswer, HttpPort, HttpRequest, HttpServer, ServerStop,
};
