//! The exported functions, which replace the C library's functions with the same names.
//!
//! Most hooks check whether their call is to fail, and otherwise call the C library's function. `getsockopt` and
//! `clock_gettime` call it first and may change its result. The requirements on callers are those of the C library: a
//! hook passes its arguments on and, where a comment says so, reads or writes memory that they point to.

mod clocks;
mod event_loop;
mod files;
mod sockets;
mod transfers;
