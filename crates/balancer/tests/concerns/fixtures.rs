//! Backends, classes and calls that the tests of several concerns use.

use crate::decisions::attempts::Attempt;
use crate::decisions::calls::{Call, CallKey, CallStage, CallTable};
use crate::interface::{
    BackendId, CellId, Effect, Endpoint, Outcome, Request, RequestClass, RequestId, Settings, Time, ZoneId,
};
use crate::support::{BackendIndex, BackendMap};
use std::sync::Arc;

/// The timeout of the calls of these tests, in seconds.
pub const CALL_TIMEOUT: Time = 2.0;
/// T1 of the calls of these tests, in seconds.
pub const T1: Time = 0.5;

/// Returns the indices of the first `COUNT` backends of a balancer.
pub fn backend_indices<const COUNT: usize>() -> [BackendIndex; COUNT] {
    let mut backends = BackendMap::default();
    std::array::from_fn(|_| {
        let index = backends.next_index();
        backends.insert(index, ());
        index
    })
}

/// Returns an endpoint in service.
pub fn endpoint(id: u32) -> Endpoint {
    Endpoint { id: BackendId(id), ..Endpoint::default() }
}

/// Returns a class with a latency objective of 1 s and a timeout of at most 2 s.
pub fn request_class(name: &str, effect: Effect) -> RequestClass {
    let name = name.to_string();
    RequestClass {
        name,
        latency_objective: 1.0,
        max_timeout: CALL_TIMEOUT,
        effect,
        ..RequestClass::default()
    }
}

/// Returns settings with one class of this effect.
pub fn settings_with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![request_class("only", effect)], ..Settings::default() }
}

/// Returns a request of the first class with [`CALL_TIMEOUT`].
pub fn request_with_id(id: u64) -> Request {
    Request { id: RequestId(id), timeout: CALL_TIMEOUT, ..Request::default() }
}

/// Returns a call of the request that arrives at time 0 with [`CALL_TIMEOUT`] and [`T1`].
pub fn call_for_request(request: Request, settings: Settings) -> Call {
    Call::new(&request, Arc::new(settings), 0.0, CALL_TIMEOUT, T1)
}

/// Returns a call of a safe request that arrives at time 0 with [`CALL_TIMEOUT`] and [`T1`].
pub fn safe_call(id: u64) -> Call {
    call_for_request(request_with_id(id), settings_with_effect(Effect::Safe))
}

/// Returns the keys of `COUNT` queued calls of safe requests, whose ids start at 0.
pub fn call_keys<const COUNT: usize>() -> [CallKey; COUNT] {
    let mut table = CallTable::default();
    std::array::from_fn(|id| table.insert(safe_call(id as u64), CallStage::Queued))
}

/// Returns an attempt that was sent to a backend in cell 0 and zone 0 at time 0.
pub fn attempt(backend: BackendIndex, outcome: Option<Outcome>) -> Attempt {
    Attempt { backend, cell: CellId(0), zone: ZoneId(0), sent_at: 0.0, outcome }
}
