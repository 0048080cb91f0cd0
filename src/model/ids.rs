//! Ids, each a type of its own so that none is taken for another.

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
    /// The number of a message, unique for the life of a scheduler. The ids and idempotency keys of clients
    /// are texts of their own.
    MessageId(u32);
    /// One endpoint of a destination.
    EndpointId(u32);
    /// The system that a message is for, with one endpoint or more.
    DestinationId(u32);
    /// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(u8);
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(u32);
    /// Index into [`Settings::destination_kinds`](super::Settings::destination_kinds).
    DestinationKindId(u16);
    /// An availability zone.
    ZoneId(u8);
    /// What messages of an ordered class are about; those with one key are delivered one at a time, in order.
    OrderingKey(u64);
}
