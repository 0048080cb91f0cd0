//! Classes and tenants: requests and the journal name them, the scheduler numbers them.

use delivery_gateway::{
    AcceptedMessage, Class, ClassId, DestinationId, MessageId, OrderingKey, ParsedSettings, TenantId,
};

use crate::clock::Clock;
use crate::journal::AcceptedRecord;

/// The classes and tenants of the settings, by name and by number.
pub(super) struct Catalog {
    classes: Vec<Class>,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
}

impl Catalog {
    pub(super) fn new(parsed: &ParsedSettings) -> Self {
        Catalog {
            classes: parsed.settings.classes.clone(),
            class_names: parsed.class_names.clone(),
            tenant_names: parsed.tenant_names.clone(),
        }
    }

    /// The class of a name; none if the settings do not name it.
    pub(super) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|known| known == name).map(|at| ClassId(at as u8))
    }

    pub(super) fn class(&self, id: ClassId) -> &Class {
        &self.classes[usize::from(id.0)]
    }

    /// The tenant of a name. One that the settings do not name has no quota that it could exceed.
    fn tenant_id(&self, name: &str) -> TenantId {
        let at = self.tenant_names.iter().position(|known| known == name);
        TenantId(at.and_then(|at| u32::try_from(at).ok()).unwrap_or(u32::MAX))
    }

    /// An accepted message as the scheduler knows it; none if its class is unknown.
    pub(super) fn accepted_message(
        &self,
        clock: &Clock,
        number: u32,
        record: &AcceptedRecord,
    ) -> Option<AcceptedMessage> {
        let class = self.class_id(&record.class)?;
        Some(AcceptedMessage {
            id: MessageId(number),
            class,
            destination: DestinationId(record.destination),
            key: (record.ordering_key != 0).then_some(OrderingKey(record.ordering_key)),
            deadline: clock.scheduler_time(record.deadline_ms),
            is_redelivered: record.is_redelivered,
            tenant: self.tenant_id(&record.tenant),
        })
    }
}
