//! What can be wrong with a batch.

use thiserror::Error;

/// What is wrong with a batch, and where in it: `at` counts bytes from the start of its body. The adapter ends on it.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The batch ends inside a field.
    #[error("byte {at}: {field} is cut short")]
    Truncated { at: usize, field: &'static str },
    /// A record of no known type.
    #[error("byte {at}: record {index} has the unknown code {code}")]
    UnknownRecord { at: usize, index: u32, code: u8 },
    /// Bytes after the last record.
    #[error("byte {at}: {left} bytes left over after the last record")]
    TrailingBytes { at: usize, left: usize },
    /// Settings that are not text.
    #[error("byte {at}: the settings are not UTF-8 text")]
    NotUtf8 { at: usize },
}
