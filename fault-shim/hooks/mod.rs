//! The exported functions, which stand before those of the C library with the same names.
//!
//! Each asks whether its call is to fail, and otherwise makes it. What callers owe each function is said by the C
//! library's documentation: a hook passes its arguments on and, where a comment says so, reads memory that they point
//! to.

mod clocks;
mod event_loop;
mod files;
mod sockets;
mod transfers;
