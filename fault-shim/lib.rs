//! A library that is loaded into a gateway's process (`LD_PRELOAD`) and makes its system calls fail on demand.
//!
//! It stands in front of the C library's functions of the same names. Which calls fail, how, and how often is read from
//! a page that the test or the soak holds (`src/bin/testbed/fault_page.rs`); without one every call goes through.
//! Randomness comes from the page's seed and a count of the calls alone. It keeps to what Linux documents: an error
//! comes in the place of the call, except where a part of the work is done first (short and torn writes).
//!
//! A short read leaves bytes unread without the edge that a runtime may wait for. Linux documents that `read` and
//! `write` may be cut short by a signal, while `epoll(7)` takes a short one for an empty or full socket. The shim
//! makes no new edge: a gateway must not depend on the stronger of the two.
//!
//! - `page` maps the page, `injection` decides from it which calls fail.
//! - `descriptors` tells sockets, state files and the configuration apart.
//! - `real` finds the functions behind this library.
//! - `sockets`, `transfers`, `files` and `events` are the functions in front of them.

// The C library, whose names these are, documents what callers must ensure.
#![allow(clippy::missing_safety_doc)]

mod descriptors;
mod events;
#[path = "../src/bin/testbed/fault_page.rs"]
#[allow(dead_code)]
mod fault_page;
mod files;
mod injection;
mod page;
mod real;
mod sockets;
mod transfers;
