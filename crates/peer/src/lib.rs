//! Exchange of state between entry hosts over capnp-rpc.
//!
//! Each exchange is one call in which both sides send their current state ([`HostNews`]).
//! Client and server run on one thread, the control thread of the daemon.
//!
//! ```
//! use sandshelf_model::HostId;
//! use sandshelf_peer::HostNews;
//! let news = HostNews::empty(HostId::from("entry-1.1"));
//! assert_eq!(news.revision, 0);
//! ```

mod client;
mod news;
#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
mod peer_capnp;
mod server;
mod silence;

pub use client::{PeerClient, PeerFault};
pub use news::HostNews;
pub use server::{serve_peers, PeerHandler, PeerPort};
