//! Maps operators' requests to the readiness check and to operations of the event loop.

use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch};
use tokio::time::timeout;

use super::http::AdminRequest;
use super::response::AdminResponse;
use crate::events::{AdminOperation, AdminResult, GatewayEvent, ServicePhase};

/// The time limit for an operation of the event loop, since operators get a response within 1 s. After it the response
/// is [`AdminResponse::NotReady`], although the operation may still be carried out.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(800);

/// The check or operation that a request asks for.
enum Route {
    Ready,
    Operation(AdminOperation),
}

impl TryFrom<&AdminRequest> for Route {
    type Error = AdminResponse;

    fn try_from(request: &AdminRequest) -> Result<Self, AdminResponse> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let allowed_method = match path {
            "/_ready" => "GET",
            "/_endpoints/detach" | "/_endpoints/attach" | "/_lameduck/on" | "/_lameduck/off" => "POST",
            _ => return Err(AdminResponse::UnknownPath),
        };
        if request.method != allowed_method {
            return Err(AdminResponse::MethodNotAllowed);
        }
        let operation = match path {
            "/_lameduck/on" => AdminOperation::LameDuck(true),
            "/_lameduck/off" => AdminOperation::LameDuck(false),
            "/_endpoints/detach" => AdminOperation::DisableEndpoint(endpoint_id(query)?),
            "/_endpoints/attach" => AdminOperation::EnableEndpoint(endpoint_id(query)?),
            _ => return Ok(Route::Ready),
        };
        Ok(Route::Operation(operation))
    }
}

/// Returns the `id` of a query, which must have exactly one.
fn endpoint_id(query: &str) -> Result<String, AdminResponse> {
    let fields = form_urlencoded::parse(query.as_bytes());
    let mut ids = fields.filter(|(name, _)| name == "id").map(|(_, id)| id.into_owned());
    match (ids.next(), ids.next()) {
        (Some(id), None) => Ok(id),
        _ => Err(AdminResponse::IdRequired),
    }
}

/// The channels to the event loop.
struct Backend {
    events: UnboundedSender<GatewayEvent>,
    phase: watch::Receiver<ServicePhase>,
}

/// Answers operators' requests. Until [`Self::open`] is called, every valid request is answered with
/// [`AdminResponse::NotReady`].
#[derive(Default)]
pub struct AdminEndpoint {
    backend: RefCell<Option<Backend>>,
}

impl AdminEndpoint {
    /// Marks the gateway as ready to serve. From now on operations go to the event loop through `events`.
    pub fn open(&self, events: UnboundedSender<GatewayEvent>, phase: watch::Receiver<ServicePhase>) {
        self.backend.replace(Some(Backend { events, phase }));
    }

    /// Answers a request within [`OPERATION_TIMEOUT`].
    pub(super) async fn respond(&self, request: &AdminRequest) -> AdminResponse {
        match Route::try_from(request) {
            Ok(Route::Ready) if self.is_ready() => AdminResponse::Done,
            Ok(Route::Ready) => AdminResponse::NotReady,
            Ok(Route::Operation(operation)) => self.operate(operation).await,
            Err(response) => response,
        }
    }

    fn is_ready(&self) -> bool {
        let backend = self.backend.borrow();
        backend.as_ref().is_some_and(|backend| *backend.phase.borrow() == ServicePhase::Serving)
    }

    async fn operate(&self, operation: AdminOperation) -> AdminResponse {
        let (reply_to, reply) = oneshot::channel();
        let events = self.backend.borrow().as_ref().map(|backend| backend.events.clone());
        let is_sent =
            events.is_some_and(|events| events.send(GatewayEvent::Admin(operation, reply_to)).is_ok());
        if !is_sent {
            return AdminResponse::NotReady;
        }
        match timeout(OPERATION_TIMEOUT, reply).await {
            Ok(Ok(AdminResult::Done)) => AdminResponse::Done,
            Ok(Ok(AdminResult::UnknownEndpoint)) => AdminResponse::UnknownEndpoint,
            Ok(Ok(AdminResult::NotRecorded)) => AdminResponse::NotRecorded,
            Ok(Err(_)) | Err(_) => AdminResponse::NotReady,
        }
    }
}
