//! The endpoints of a sweep of the scheduler: their numbers, destinations and capacity hints.

use delivery_gateway::{Availability, DestinationId, DestinationKindId, Endpoint, EndpointId, ZoneId};

use crate::bounds::NotRun;
use crate::experiment::Kind;

/// The number of destinations to which messages are sent, unless the sweep has another number.
pub const ACTIVE_DESTINATIONS: u64 = 64;
/// The number of destinations to which messages are sent in [`Kind::CallsInFlight`], where very many calls are in
/// flight.
const ACTIVE_DESTINATIONS_OF_MANY_CALLS: u64 = 1024;
/// The number of destinations for which the messages of [`Kind::PendingSpread`] wait.
pub const WAITING_DESTINATIONS: u64 = 64;
/// The capacity hint of a destination that serves more calls than any sweep sends to it, in calls per second for the
/// whole fleet.
pub const AMPLE_RATE_PER_SEC: f64 = 1e6;
/// The capacity hint of a destination whose messages wait for its token bucket, in calls per second for the whole
/// fleet.
const SCARCE_RATE_PER_SEC: f64 = 0.1;
/// The capacity hint of a destination whose messages wait for another reason, in calls per second for the whole fleet.
const MODEST_RATE_PER_SEC: f64 = 10.0;
/// The number of endpoints at the target for every [`DESTINATIONS_OF_RATIO`] destinations.
const ENDPOINTS_OF_RATIO: u64 = 23;
const DESTINATIONS_OF_RATIO: u64 = 10;

/// The endpoints of one size. Messages are sent to the destinations with numbers below `active_destinations`, except to
/// those that wait in [`Kind::Loaded`].
pub struct Layout {
    pub endpoints: Vec<Endpoint>,
    pub active_destinations: u64,
}

impl Layout {
    /// Returns the endpoints of a sweep of the scheduler at one size.
    ///
    /// # Errors
    /// Returns an error if a number of an endpoint or destination is too large, or if the sweep is not one of the
    /// scheduler.
    pub fn of(kind: Kind, size: u64) -> Result<Self, NotRun> {
        match kind {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => Layout::with_target_ratio(size),
            Kind::QueuesTokenBucket => Layout::separate(ACTIVE_DESTINATIONS, size, SCARCE_RATE_PER_SEC),
            Kind::QueuesRetryAfter | Kind::Down => {
                Layout::separate(ACTIVE_DESTINATIONS, size, MODEST_RATE_PER_SEC)
            }
            Kind::PendingSpread => {
                Layout::separate(ACTIVE_DESTINATIONS, WAITING_DESTINATIONS, MODEST_RATE_PER_SEC)
            }
            Kind::PendingAtOne => Layout::separate(1, 0, AMPLE_RATE_PER_SEC),
            Kind::CallsInFlight => Layout::separate(ACTIVE_DESTINATIONS_OF_MANY_CALLS, 0, AMPLE_RATE_PER_SEC),
            Kind::Watchers | Kind::WatchersReconnect | Kind::Journal | Kind::Tombstones => {
                Err(NotRun::Failed(format!("{kind} is no sweep of the scheduler")))
            }
        }
    }

    /// Returns destinations with one endpoint each: first the active ones, then `others` with a given capacity hint.
    fn separate(active: u64, others: u64, others_per_sec: f64) -> Result<Self, NotRun> {
        let capacity_hint_of = |number| if number < active { AMPLE_RATE_PER_SEC } else { others_per_sec };
        let endpoints = (0..active + others).map(|number| endpoint(number, number, capacity_hint_of(number)));
        Ok(Layout { endpoints: endpoints.collect::<Result<_, _>>()?, active_destinations: active })
    }

    /// Returns `endpoints` endpoints, distributed over destinations in the target's ratio. All destinations are active.
    fn with_target_ratio(endpoints: u64) -> Result<Self, NotRun> {
        let destination_of = |index: u64| index * DESTINATIONS_OF_RATIO / ENDPOINTS_OF_RATIO;
        let active_destinations = destination_of(endpoints.saturating_sub(1)) + 1;
        let endpoints =
            (0..endpoints).map(|index| endpoint(index, destination_of(index), AMPLE_RATE_PER_SEC));
        Ok(Layout { endpoints: endpoints.collect::<Result<_, _>>()?, active_destinations })
    }

    /// Returns the index of the first endpoint of a destination in the result of [`Layout::with_target_ratio`].
    pub fn first_endpoint_of(destination: u64) -> u64 {
        (destination * ENDPOINTS_OF_RATIO).div_ceil(DESTINATIONS_OF_RATIO)
    }
}

/// Returns the destination with a number.
///
/// # Errors
/// Returns an error if the number does not fit a destination's number.
pub fn destination(number: u64) -> Result<DestinationId, NotRun> {
    number.try_into().map(DestinationId).map_err(|_| NotRun::Destinations(number))
}

/// Returns the endpoint at an index of the list. Endpoint numbers begin at 1.
///
/// # Errors
/// Returns an error if the number does not fit an endpoint's number.
pub fn endpoint_id(index: u64) -> Result<EndpointId, NotRun> {
    let number = u32::try_from(index + 1).map_err(|error| NotRun::failed("too many endpoints", error))?;
    Ok(EndpointId(number))
}

fn endpoint(index: u64, destination_number: u64, capacity_hint: f64) -> Result<Endpoint, NotRun> {
    Ok(Endpoint {
        id: endpoint_id(index)?,
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: destination(destination_number)?,
        availability: Availability::Ready,
        capacity_hint,
    })
}
