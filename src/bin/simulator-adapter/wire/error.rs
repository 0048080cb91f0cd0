//! The errors of decoding a batch.

use thiserror::Error;

/// Why a batch cannot be decoded. `at` is the offset in bytes from the start of its body. The adapter exits with this
/// error.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The batch ends within a field.
    #[error("byte {at}: {field} is cut short")]
    Truncated { at: usize, field: &'static str },
    /// A record has an unknown type.
    #[error("byte {at}: record {index} has the unknown code {code}")]
    UnknownRecord { at: usize, index: u32, code: u8 },
    /// Bytes follow the last record.
    #[error("byte {at}: {length} bytes left over after the last record")]
    TrailingBytes { at: usize, length: usize },
    /// The settings are not UTF-8.
    #[error("byte {at}: the settings are not UTF-8 text")]
    NotUtf8 { at: usize },
}
