//! A library for `LD_PRELOAD` that makes system calls of a gateway process fail on demand.
//!
//! [`hooks`] exports functions with the names of the C library's own, which the dynamic linker resolves to this
//! library first. Which calls fail, how and how often is read from a page of shared memory that a test or the soak
//! writes (`src/bin/testbed/fault_page.rs`); without a page every call goes through. What is drawn at random depends
//! on the page's seed and the number of the call alone, so that a run can be repeated.
//!
//! The faults are those that Linux documents: an error is returned instead of making the call, except where a part
//! of the work is done first (short and torn writes).
//!
//! A short read leaves bytes unread without the edge that an edge-triggered runtime may wait for. Linux documents that
//! a signal may cut `read` and `write` short, while `epoll(7)` takes a short transfer as a sign that the socket is
//! empty or full. The shim creates no new edge: a gateway must not depend on the stronger of the two promises.

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
