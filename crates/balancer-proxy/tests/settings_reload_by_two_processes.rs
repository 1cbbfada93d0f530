//! Reload of settings while two processes run on one address: the signal to one process reloads both.

mod common;

use common::proxy_process::ProxyProcess;
use common::settings_reload::{settings_metrics, versioned_configuration};
use common::shared_address::SharedAddress;
use common::stub_server::StubServer;
use common::waiting::wait_for;
use std::time::{Duration, Instant};

/// Waits until this version is in force at each of the proxies, and checks that this takes less than 1 s.
fn check_version_in_force(proxies: &[&ProxyProcess], version: u64) {
    let start = Instant::now();
    wait_for("the new version in force at each process", || {
        proxies.iter().all(|proxy| settings_metrics(proxy)[0] == Some(version))
    });
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

#[test]
fn one_signal_reloads_two_processes_even_if_its_recipient_is_killed() {
    let backend = StubServer::responding_with("hello");
    let shared_address = SharedAddress::new();
    let mut old = shared_address.start(&versioned_configuration(1, &[&backend]));
    let new = shared_address.start_with_configuration_of(&old);
    new.wait_until_ready();
    for (version, signalled) in [(2, &old), (3, &new)] {
        old.replace_configuration(&versioned_configuration(version, &[&backend]));
        signalled.signal("-HUP");
        check_version_in_force(&[&old, &new], version);
    }
    assert_eq!(
        (settings_metrics(&old), settings_metrics(&new)),
        (vec![Some(3), Some(2), Some(0)], vec![Some(3), Some(2), Some(0)])
    );

    // The other process reads a truncated file first, and the complete file later.
    old.replace_configuration(&versioned_configuration(4, &[&backend]));
    new.while_stopped(|| {
        old.signal("-HUP");
        check_version_in_force(&[&old], 4);
        old.replace_configuration_text("{");
    });
    wait_for("the rejection of the truncated file", || settings_metrics(&new) == [Some(3), Some(2), Some(1)]);
    // Within this time, the process polls the invalid file three times.
    std::thread::sleep(Duration::from_millis(350));
    assert_eq!(settings_metrics(&new), [Some(3), Some(2), Some(1)]);
    old.replace_configuration(&versioned_configuration(4, &[&backend]));
    check_version_in_force(&[&old, &new], 4);

    // The process that gets the signal is killed before it handles the signal.
    old.signal("-STOP");
    old.replace_configuration(&versioned_configuration(5, &[&backend]));
    old.signal("-HUP");
    old.kill();
    check_version_in_force(&[&new], 5);
    let next = shared_address.start_with_configuration_of(&old);
    next.wait_until_ready();
    assert_eq!(
        (settings_metrics(&next), settings_metrics(&new)),
        (vec![Some(5), Some(0), Some(0)], vec![Some(5), Some(4), Some(1)])
    );
}
