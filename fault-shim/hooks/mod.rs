//! The exported functions, which replace the C library's functions with the same names.
//!
//! Each hook checks whether its call is to fail, and otherwise calls the C library's function. The requirements on
//! callers are those of the C library: a hook passes its arguments on and, where a comment says so, reads or writes
//! memory that they point to.

mod clocks;
mod event_loop;
mod files;
mod sockets;
mod transfers;
