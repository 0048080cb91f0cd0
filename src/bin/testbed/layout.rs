//! Which endpoints a sweep of the scheduler has: their numbers, destinations and weights.

use delivery_gateway::{Availability, DestinationId, DestinationKindId, Endpoint, EndpointId, ZoneId};

use crate::bounds::NotRun;
use crate::experiment::Kind;

/// Destinations that messages are sent to, where the sweep does not say otherwise.
pub const ACTIVE_DESTINATIONS: u64 = 64;
/// The same where very many calls are in flight.
const ACTIVE_DESTINATIONS_OF_MANY_CALLS: u64 = 1024;
/// Destinations at which the messages of [`Kind::PendingSpread`] wait.
pub const WAITING_DESTINATIONS: u64 = 64;
/// Calls a second that a destination serves for the whole fleet: more than any sweep sends to it.
pub const AMPLE_RATE: f64 = 1e6;
/// The same, of a destination whose messages wait for its token bucket.
const SCARCE_RATE: f64 = 0.1;
/// The same, of a destination whose messages wait for something else.
const MODEST_RATE: f64 = 10.0;
/// Endpoints of the target for each [`DESTINATIONS_OF_RATIO`] destinations.
const ENDPOINTS_OF_RATIO: u64 = 23;
const DESTINATIONS_OF_RATIO: u64 = 10;

/// Endpoints, by destination and weight. Messages are sent to the first `active_destinations`.
pub struct Layout {
    pub endpoints: Vec<Endpoint>,
    pub active_destinations: u64,
}

impl Layout {
    /// The endpoints of a sweep of the scheduler at one size.
    pub fn of(kind: Kind, size: u64) -> Result<Self, NotRun> {
        match kind {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => Layout::shared(size),
            Kind::QueuesTokenBucket => Layout::separate(ACTIVE_DESTINATIONS, size, SCARCE_RATE),
            Kind::QueuesRetryAfter | Kind::Down => Layout::separate(ACTIVE_DESTINATIONS, size, MODEST_RATE),
            Kind::PendingSpread => Layout::separate(ACTIVE_DESTINATIONS, WAITING_DESTINATIONS, MODEST_RATE),
            Kind::PendingAtOne => Layout::separate(1, 0, AMPLE_RATE),
            Kind::CallsInFlight => Layout::separate(ACTIVE_DESTINATIONS_OF_MANY_CALLS, 0, AMPLE_RATE),
            Kind::Watchers | Kind::WatchersReconnect | Kind::Journal => {
                Err(NotRun::Failed(format!("{kind} is no sweep of the scheduler")))
            }
        }
    }

    /// Destinations of one endpoint each: the active ones, then others of one weight.
    fn separate(active: u64, others: u64, weight: f64) -> Result<Self, NotRun> {
        let weight_of = |number| if number < active { AMPLE_RATE } else { weight };
        let endpoints = (0..active + others).map(|number| endpoint(number, number, weight_of(number)));
        Ok(Layout { endpoints: endpoints.collect::<Result<_, _>>()?, active_destinations: active })
    }

    /// So many endpoints at destinations that share them in the target's ratio, all of them active.
    fn shared(endpoints: u64) -> Result<Self, NotRun> {
        let destination_of = |index: u64| index * DESTINATIONS_OF_RATIO / ENDPOINTS_OF_RATIO;
        let active_destinations = destination_of(endpoints.saturating_sub(1)) + 1;
        let endpoints = (0..endpoints).map(|index| endpoint(index, destination_of(index), AMPLE_RATE));
        Ok(Layout { endpoints: endpoints.collect::<Result<_, _>>()?, active_destinations })
    }

    /// The index of the first endpoint of a destination, where [`Layout::shared`] has put it.
    pub fn first_endpoint_of(destination: u64) -> u64 {
        (destination * ENDPOINTS_OF_RATIO).div_ceil(DESTINATIONS_OF_RATIO)
    }
}

/// The destination with a number.
pub fn destination(number: u64) -> Result<DestinationId, NotRun> {
    number.try_into().map(DestinationId).map_err(|_| NotRun::Destinations(number))
}

/// The endpoint at an index of the list.
pub fn endpoint_id(index: u64) -> Result<EndpointId, NotRun> {
    let number = u32::try_from(index + 1).map_err(|error| NotRun::failed("too many endpoints", error))?;
    Ok(EndpointId(number))
}

fn endpoint(index: u64, of: u64, weight: f64) -> Result<Endpoint, NotRun> {
    Ok(Endpoint {
        id: endpoint_id(index)?,
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: destination(of)?,
        availability: Availability::Ready,
        capacity_hint: weight,
    })
}
