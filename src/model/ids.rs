//! Ids. Each is a separate type, so that the compiler rejects one in place of another.

use serde::{Deserialize, Serialize};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// The number of a message, unique for the life of a scheduler. It is independent of the ids and
    /// idempotency keys that clients use, which are texts.
    MessageId(u32);
    /// The id of one endpoint of a destination, as listed by discovery.
    EndpointId(u32);
    /// The id of the system that a message is for, which has one or more endpoints.
    DestinationId(u32);
    /// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(u8);
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(u32);
    /// Index into [`Settings::destination_kinds`](super::Settings::destination_kinds).
    DestinationKindId(u16);
    /// The id of an availability zone; index into [`Settings::zone_costs`](super::Settings::zone_costs).
    ZoneId(u8);
    /// The ordering key of a message. Messages of ordered classes with the same key are delivered one at a
    /// time, in the order of acceptance.
    OrderingKey(u64);
}
