//! Translates the names of classes and tenants, as requests and the journal have them, to the scheduler's ids.

use delivery_gateway::{
    AcceptedMessage, Class, ClassId, DestinationId, MessageId, OrderingKey, ParsedSettings, TenantId,
};

use crate::clock::Clock;
use crate::journal::AcceptedRecord;

/// The classes and tenants of the settings. An id is the index in its list.
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

    /// Returns the id of a class; None if the settings don't have it.
    pub(super) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|class_name| class_name == name).map(|index| ClassId(index as u8))
    }

    pub(super) fn class(&self, id: ClassId) -> &Class {
        &self.classes[usize::from(id.0)]
    }

    /// Returns the id of a tenant. A tenant that the settings don't have gets `u32::MAX`, which has no quota.
    fn tenant_id(&self, name: &str) -> TenantId {
        let index = self.tenant_names.iter().position(|tenant_name| tenant_name == name);
        TenantId(index.and_then(|index| u32::try_from(index).ok()).unwrap_or(u32::MAX))
    }

    /// Translates an accepted message for the scheduler. None if the settings don't have its class.
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
