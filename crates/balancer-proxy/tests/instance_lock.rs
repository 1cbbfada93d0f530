//! The instance locks by which the processes of one address detect one another. A lock must not outlive its
//! process, and state that an earlier process has left in the file must not count for a new one.

mod common;

use balancer_proxy::control::instance_lock::InstanceLock;
use common::shared_address::SharedAddress;

#[test]
fn instance_lock_is_free_again_after_its_process_has_exited() {
    let shared_address = SharedAddress::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let path = shared_address.state_file("any");
        let first = InstanceLock::acquire(&path).await.unwrap();
        assert!(!first.other_process().is_running() && !first.other_is_listening());

        let second = InstanceLock::acquire(&path).await.unwrap();
        assert!(first.other_process().is_running() && second.other_process().is_running());
        assert!(!first.other_is_listening(), "the second process does not accept connections yet");
        second.announce_listening().unwrap();
        assert!(first.other_is_listening() && !second.other_is_listening());

        // A third process gets no lock and does not affect the other two.
        let third = InstanceLock::acquire(&path).await.unwrap();
        assert!(third.other_process().is_running() && third.other_is_listening());

        drop((second, third));
        assert!(!first.other_process().is_running() && !first.other_is_listening());
        let again = InstanceLock::acquire(&path).await.unwrap();
        assert!(
            first.other_process().is_running() && !first.other_is_listening(),
            "the state that the earlier process has written must not count"
        );
        drop(again);
    });
}

#[test]
fn instance_locks_of_different_addresses_in_one_folder_are_independent() {
    let shared_address = SharedAddress::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let paths = ["x-127.0.0.1:7070", "x-127.0.0.2:7070"]
            .map(|name| shared_address.state_file("a").with_file_name(name));

        let locks = [
            InstanceLock::acquire(&paths[0]).await.unwrap(),
            InstanceLock::acquire(&paths[0]).await.unwrap(),
        ];
        let other = InstanceLock::acquire(&paths[1]).await.unwrap();

        assert!(locks[0].other_process().is_running() && !other.other_process().is_running());
        drop(locks);
    });
}
