//! The simulator's wire: decodes batches of records and encodes replies, which are the actions that schedulers request.
//! Numbers are big-endian, without padding.
//!
//! The wire's own names for fields are mapped to the terms of the code here. Outside of this module they occur only in
//! the error texts of `translation`. All input is checked: a truncated batch or an unknown record is an error, never a
//! panic or a large allocation.

mod error;
mod reader;
mod records;
mod replies;

pub use error::WireError;
pub use records::{read_batch, AcceptedRecord, Batch, FinishedAttemptRecord, ListEntry, Record};
#[allow(unused_imports)] // The tests encode single replies.
pub use replies::write_reply;
pub use replies::{write_frame, Reply};
