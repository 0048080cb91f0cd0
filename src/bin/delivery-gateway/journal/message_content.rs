//! The content of a message by which a repeated request is told from one for another message, and the hashes of content
//! and id that a tombstone keeps.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// What a repeated request must have in common with the message, besides the id. The deadline and the tenant may differ,
/// and so may the mark of a redelivered message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageContent<'a> {
    pub ordering_key: u64,
    pub class: &'a str,
    pub destination: u32,
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
}

impl MessageContent<'_> {
    /// Hashes the content. The result must stay the same in all builds, because it is in the journal.
    pub fn hash(&self) -> u32 {
        let mut hasher = SipHasher24::new();
        hasher.write(&self.ordering_key.to_le_bytes());
        hasher.write(&self.destination.to_le_bytes());
        write_sized(&mut hasher, self.class.as_bytes());
        hasher.write(&[u8::from(self.idempotency_key.is_some())]);
        write_sized(&mut hasher, self.idempotency_key.unwrap_or_default().as_bytes());
        write_sized(&mut hasher, self.body);
        hasher.finish() as u32
    }
}

/// Hashes bytes with their number, so that adjacent fields can't be confused.
fn write_sized(hasher: &mut SipHasher24, bytes: &[u8]) {
    hasher.write(&(bytes.len() as u64).to_le_bytes());
    hasher.write(bytes);
}

/// Hashes an id. The result must stay the same in all builds, because it is in the journal.
pub fn hash_of_id(id: &str) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(id.as_bytes());
    hasher.finish()
}
