//! Quotas: whether a request is within the quota of its tenant.

use crate::decisions::quotas::{QuotaStatus, Quotas};
use crate::interface::{Settings, Tenant, TenantIndex, Time};

/// The index of the only tenant, or of the first one.
const FIRST_TENANT: Option<TenantIndex> = Some(TenantIndex(0));

fn tenant(name: &str, quota_per_second: f64) -> Tenant {
    Tenant { name: name.to_string(), quota_per_second }
}

/// Returns the quotas at time 0 of one tenant at one of `instance_count` balancers.
fn quotas_of_one_tenant(quota_per_second: f64, instance_count: usize) -> Quotas {
    let tenants = vec![tenant("tenant", quota_per_second)];
    let settings = Settings { tenants, instance_count, ..Settings::default() };
    let mut quotas = Quotas::default();
    quotas.apply_settings(&settings, &[None], 0.0);
    quotas
}

/// Consumes the remaining quota of the first tenant at `now`. Returns the number of requests within quota.
fn exhaust_quota(quotas: &mut Quotas, now: Time) -> usize {
    let mut requests = 0;
    while quotas.status(FIRST_TENANT, now) == QuotaStatus::Within {
        quotas.consume(FIRST_TENANT);
        requests += 1;
    }
    requests
}

#[test]
fn allows_a_burst_of_the_quota_of_one_second_and_then_the_quota_per_second() {
    let mut quotas = quotas_of_one_tenant(4.0, 1);

    let at_once = exhaust_quota(&mut quotas, 0.0);
    let after_half_a_second = exhaust_quota(&mut quotas, 0.5);
    let after_an_hour = exhaust_quota(&mut quotas, 3600.0);

    assert_eq!([at_once, after_half_a_second, after_an_hour], [4, 2, 4]);
}

#[test]
fn divides_the_quota_evenly_among_the_balancers() {
    let mut quotas = quotas_of_one_tenant(12.0, 4);

    assert_eq!(exhaust_quota(&mut quotas, 0.0), 3);
}

#[test]
fn allows_a_burst_of_one_request_if_the_quota_is_less_than_one_per_second() {
    let mut quotas = quotas_of_one_tenant(0.5, 1);

    let at_once = exhaust_quota(&mut quotas, 0.0);
    let before_the_next = exhaust_quota(&mut quotas, 1.5);
    let at_the_next = exhaust_quota(&mut quotas, 2.0);

    assert_eq!([at_once, before_the_next, at_the_next], [1, 0, 1]);
}

#[test]
fn a_request_that_is_not_admitted_consumes_no_quota() {
    let mut quotas = quotas_of_one_tenant(1.0, 1);

    let statuses = [(); 3].map(|()| quotas.status(FIRST_TENANT, 0.0));

    assert_eq!(statuses, [QuotaStatus::Within; 3]);
}

#[test]
fn a_request_without_a_tenant_is_within_quota_even_if_every_tenant_has_exceeded_its_quota() {
    let mut quotas = quotas_of_one_tenant(1.0, 1);
    exhaust_quota(&mut quotas, 0.0);

    quotas.consume(None);

    assert_eq!(quotas.status(None, 0.0), QuotaStatus::Within);
    assert_eq!(quotas.status(FIRST_TENANT, 0.0), QuotaStatus::Exceeded);
}

#[test]
fn keeps_the_remaining_quota_of_a_tenant_when_settings_change() {
    let mut quotas = quotas_of_one_tenant(2.0, 1);
    exhaust_quota(&mut quotas, 0.0);
    let tenants = vec![tenant("new", 2.0), tenant("tenant", 2.0)];
    let settings = Settings { tenants, ..Settings::default() };

    quotas.apply_settings(&settings, &[None, FIRST_TENANT], 0.0);

    assert_eq!(quotas.status(Some(TenantIndex(0)), 0.0), QuotaStatus::Within);
    assert_eq!(quotas.status(Some(TenantIndex(1)), 0.0), QuotaStatus::Exceeded);
}
