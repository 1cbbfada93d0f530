//! Tests of the tasks that let the runtime poll the system for events.

use super::FairTask;
use std::cell::Cell;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;
use tokio::task::{LocalSet, spawn_local};

/// Longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of times that the busy task wakes itself, more than the runtime runs tasks between two polls for
/// events.
const SELF_WAKES: usize = 1_000;

/// A task that wakes itself [`SELF_WAKES`] times. Writes to `peer` in its first poll, and counts its polls.
async fn wake_itself(peer: std::os::unix::net::UnixStream, polls: Rc<Cell<usize>>) {
    std::future::poll_fn(|cx| {
        if polls.get() == 0 {
            std::io::Write::write_all(&mut &peer, b"x").unwrap();
        }
        polls.set(polls.get() + 1);
        if polls.get() > SELF_WAKES {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Guards against a client that delays all others by requests at full speed: without the pause, the task of
/// its connection ran 61 times before the runtime noticed the bytes of another client.
#[test]
fn the_bytes_of_another_client_are_read_after_a_task_has_woken_itself_a_few_times() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (near, far) = std::os::unix::net::UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let mut near = UnixStream::from_std(near).unwrap();
        let polls = Rc::new(Cell::new(0));
        let polls_at_read = spawn_local({
            let polls = polls.clone();
            async move {
                near.read_u8().await.unwrap();
                polls.get()
            }
        });
        tokio::task::yield_now().await; // until the reader waits

        let busy = spawn_local(FairTask::new(wake_itself(far, polls.clone())));
        let polls_at_read = tokio::time::timeout(TEST_TIMEOUT, polls_at_read).await.unwrap().unwrap();

        assert!(polls_at_read <= 3, "{polls_at_read} polls of the busy task");
        tokio::time::timeout(TEST_TIMEOUT, busy).await.unwrap().unwrap();
        assert_eq!(polls.get(), SELF_WAKES + 1);
    });
}

#[test]
fn a_task_that_others_wake_is_polled_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let waited = LocalSet::new().block_on(&runtime, async {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let task = spawn_local(FairTask::new(receiver));
        tokio::task::yield_now().await; // until the task waits
        sender.send(7).unwrap();
        tokio::time::timeout(TEST_TIMEOUT, task).await
    });

    assert_eq!(waited.unwrap().unwrap(), Ok(7));
}
