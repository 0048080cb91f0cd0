//! A library for `LD_PRELOAD` that makes system calls of a gateway process fail on demand, and steps its wall clock.
//!
//! [`hooks`] exports functions with the same names as functions of the C library. The dynamic linker resolves the
//! names to this library first. The shim reads which calls fail, how and how often from a page of shared memory that a
//! test or the soak writes (`src/bin/testbed/fault_page.rs`). Without a page no call fails. Random draws depend only on
//! the page's seed, the kind of call and its sequence number, so that a run can be repeated.
//!
//! The shim injects only faults that Linux documents. It returns an error instead of making the call, except where a
//! part of the work is done first (short transfers and torn writes), where it replaces the result of a non-blocking
//! `connect`, and where it kills the process.
//!
//! A short read leaves bytes unread without a new edge for an edge-triggered runtime to wait for. Linux documents that
//! a signal may cut `read` and `write` short, while `epoll(7)` takes a short transfer as a sign that the socket is
//! empty or full. The shim creates no new edge: a gateway must not depend on the stronger of the two guarantees.

#[path = "../src/bin/testbed/fault_page.rs"]
#[allow(dead_code)]
mod fault_page;

mod descriptors;
mod errno;
mod faults;
mod hooks;
mod mapped_page;
mod next_function;
mod random;
