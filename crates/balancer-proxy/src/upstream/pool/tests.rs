//! Tests of a connection pool with a listener on a loopback address.

use super::{CheckedOutConnection, ConnectionPool, ConnectionTimeouts, MIN_IDLE_TIME_BEFORE_REUSE};
use crate::limits::Budget;
use crate::upstream::connection::ConnectionOrigin;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test with a listener that establishes connections and never accepts them.
fn run_with_listener<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr) -> F) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test(address));
}

fn pool_at(address: SocketAddr, budget: &Rc<Budget>) -> Rc<ConnectionPool> {
    let timeouts = ConnectionTimeouts { connect: TEST_TIMEOUT, idle: TEST_TIMEOUT };
    Rc::new(ConnectionPool::new(address, budget.clone(), timeouts))
}

/// Checks out a connection of the current generation.
async fn check_out(pool: &Rc<ConnectionPool>) -> CheckedOutConnection {
    pool.check_out(pool.generation()).await.expect("a connection")
}

/// Releases a connection after its use.
fn release(checked_out: CheckedOutConnection) {
    checked_out.lease.release(checked_out.connection);
}

/// Waits until connections that have just been released can be reused.
async fn wait_until_reusable() {
    tokio::time::sleep(2 * MIN_IDLE_TIME_BEFORE_REUSE).await;
}

#[test]
fn reuses_a_connection_once_it_has_been_idle_for_the_minimum_time() {
    run_with_listener(|address| async move {
        let pool = pool_at(address, &Budget::new(4));
        let first = check_out(&pool).await;
        assert_eq!(first.origin, ConnectionOrigin::New);
        release(first);

        wait_until_reusable().await;
        let second = check_out(&pool).await;

        assert_eq!(second.origin, ConnectionOrigin::Reused);
        assert!(pool.idle_since().is_none());
    });
}

#[test]
fn closes_a_connection_at_its_release_if_it_was_retired_while_in_use() {
    run_with_listener(|address| async move {
        let budget = Budget::new(1);
        let pool = pool_at(address, &budget);
        let in_use = check_out(&pool).await;
        assert!(budget.is_full());

        pool.retire_connections();
        release(in_use);

        assert!(pool.idle_since().is_none());
        assert!(!budget.is_full());
    });
}

#[test]
fn closes_idle_connections_only_when_the_address_changes() {
    run_with_listener(|address| async move {
        let pool = pool_at(address, &Budget::new(4));
        release(check_out(&pool).await);

        pool.set_in_service(address);
        let idle_at_same_address = pool.idle_since();
        pool.set_in_service(SocketAddr::from(([127, 0, 0, 1], 1)));

        assert!(idle_at_same_address.is_some());
        assert!(pool.idle_since().is_none());
    });
}

#[test]
fn opens_no_connection_beyond_the_budget() {
    run_with_listener(|address| async move {
        let pool = pool_at(address, &Budget::new(1));
        let in_use = check_out(&pool).await;

        let second = pool.check_out(pool.generation()).await;

        assert!(second.is_none());
        drop(in_use);
    });
}

#[test]
fn closes_the_connection_that_has_been_idle_longest_first() {
    run_with_listener(|address| async move {
        let budget = Budget::new(2);
        let pool = pool_at(address, &budget);
        let (first, second) = (check_out(&pool).await, check_out(&pool).await);
        release(first);
        let first_idle_since = pool.idle_since();
        wait_until_reusable().await;
        release(second);

        pool.close_oldest_idle();

        assert!(pool.idle_since() > first_idle_since);
        assert!(!budget.is_full());
    });
}

#[test]
fn a_sweep_closes_connections_that_have_been_idle_for_too_long() {
    run_with_listener(|address| async move {
        let pool = pool_at(address, &Budget::new(4));
        release(check_out(&pool).await);

        pool.sweep_idle();
        let idle_within_timeout = pool.idle_since();
        pool.set_timeouts(ConnectionTimeouts { connect: TEST_TIMEOUT, idle: Duration::ZERO });
        pool.sweep_idle();

        assert!(idle_within_timeout.is_some());
        assert!(pool.idle_since().is_none());
    });
}

/// Returns a listener whose backlog holds one connection until that connection is accepted.
fn listener_with_short_backlog() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

/// Guards against a request that gets no connection although the backend has capacity again. The process is
/// suspended for the whole timeout right after the start of a connection attempt, so that the timers of both
/// halves have elapsed when the process resumes. The kernel retries the first connection attempt only after a
/// second.
#[test]
fn starts_a_second_connection_attempt_after_a_suspension_for_the_whole_timeout() {
    let listener = listener_with_short_backlog();
    let address = listener.local_addr().unwrap();
    let _first_in_backlog = TcpStream::connect(address).unwrap();
    let timeouts = ConnectionTimeouts { connect: Duration::from_millis(800), idle: TEST_TIMEOUT };
    let pool = Rc::new(ConnectionPool::new(address, Budget::new(4), timeouts));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();

    let connection = runtime.block_on(async {
        let mut check_out = pin!(pool.check_out(pool.generation()));
        tokio::select! {
            biased;
            _ = check_out.as_mut() => panic!("the backlog is full"),
            () = std::future::ready(()) => {} // the attempt has begun
        }
        std::thread::sleep(timeouts.connect);
        listener.accept().unwrap(); // the backlog has capacity from here on
        check_out.await
    });

    assert!(connection.is_some());
}
