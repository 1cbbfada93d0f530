//! Roles: services whose callers are measured in more detail.

use super::topology::Topology;

/// A service that represents a kind of services in the report.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Name of the role in reports.
    pub name: &'static str,
    /// The index of the service.
    pub service: usize,
}

/// All roles; a service may have several.
#[derive(Debug)]
pub struct Roles([Role; 3]);

impl Roles {
    /// Selects the service of each role among the called services.
    #[must_use]
    pub fn new(topology: &Topology) -> Self {
        let services = &topology.services;
        let mut called = topology.called_services();
        called.sort_by_key(|s| (services[*s].machines.len(), services[*s].callers.len(), *s));
        let service_at = |rank: usize| called.get(rank).copied().unwrap_or(0);
        let most_called = called.iter().max_by_key(|s| services[**s].callers.len());
        Self([
            Role { name: "of a median service", service: service_at(called.len() / 2) },
            Role { name: "of the largest service", service: service_at(called.len().saturating_sub(1)) },
            Role { name: "of the most called service", service: most_called.copied().unwrap_or(0) },
        ])
    }

    /// Returns the roles in the order of the report.
    pub fn iter(&self) -> impl Iterator<Item = Role> + '_ {
        self.0.iter().copied()
    }

    /// Returns whether a service has at least one role.
    #[must_use]
    pub fn contains(&self, service: usize) -> bool {
        self.iter().any(|role| role.service == service)
    }
}
