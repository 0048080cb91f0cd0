//! A cursor over the body of a batch.

use super::error::WireError;

/// Reads fields one after the other. Each method takes the name of the field, for the error message.
pub struct Reader<'a> {
    body: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        Reader { body, at: 0 }
    }

    /// Returns the number of bytes read so far.
    pub fn at(&self) -> usize {
        self.at
    }

    /// Returns the number of bytes that have not been read yet.
    pub fn remaining(&self) -> usize {
        self.body.len() - self.at
    }

    pub fn bytes(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let truncated = WireError::Truncated { at: self.at, field };
        let end = self.at.checked_add(length).filter(|end| *end <= self.body.len()).ok_or(truncated)?;
        let bytes = &self.body[self.at..end];
        self.at = end;
        Ok(bytes)
    }

    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        self.array(field).map(u8::from_be_bytes)
    }

    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.array(field).map(u16::from_be_bytes)
    }

    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.array(field).map(u32::from_be_bytes)
    }

    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.array(field).map(u64::from_be_bytes)
    }

    pub fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        self.array(field).map(f32::from_be_bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.bytes(N, field)?);
        Ok(bytes)
    }
}
