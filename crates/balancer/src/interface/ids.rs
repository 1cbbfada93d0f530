//! Times, and the identifiers of requests, attempts, backends, zones, cells, tiers, classes and tenants.

/// A point in time or a span of time, in seconds. The caller chooses the origin of the clock.
pub type Time = f64;

/// Identifies a request. The caller assigns the id, and never uses an id twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a backend, which is a server to which requests can be sent. A backend keeps its id across
/// restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendId(pub u32);

/// Identifies a zone. The caller uses the same zone ids in endpoint lists and in settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// Identifies a cell, which is a group of backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u32);

/// The tier of a balancer: the number of tiers between the clients and the balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tier(pub usize);

impl Tier {
    /// The entry tier, which receives the requests of clients.
    pub const ENTRY: Self = Self(0);

    /// Returns whether the tier is the entry tier.
    #[must_use]
    pub fn is_entry(self) -> bool {
        self == Self::ENTRY
    }
}

/// The index of a class among the classes of the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// The index of a tenant among the tenants of the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);

/// The number of an attempt among the attempts of its request, from 0, in the order of the sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub usize);

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub number: AttemptNumber,
}
