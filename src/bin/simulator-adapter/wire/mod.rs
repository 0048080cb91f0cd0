//! The simulator's wire: batches of records come in, replies go out. Big-endian, without padding.
//!
//! The wire's own names are mapped to the code's terms here. Whatever arrives is checked: a batch that is cut short or
//! says something unknown is an error, never a panic or a large allocation.

mod error;
mod reader;
mod records;
mod replies;

pub use error::WireError;
pub use records::{read_batch, AcceptRecord, Batch, FinishedRecord, ListEntry, Record};
#[allow(unused_imports)] // The tests encode single replies.
pub use replies::write_reply;
pub use replies::{write_frame, Reply};
