//! Tests of the table of running attempts.

use super::{RunningAttempt, RunningAttempts, SentAttempt, WriteProgress};
use crate::upstream::completion_flag::CompletionFlag;
use balancer::{AttemptId, AttemptNumber, BackendId, RequestId};

const ATTEMPT_ID: AttemptId = AttemptId { request: RequestId(7), number: AttemptNumber(1) };
const SENT_ATTEMPT: SentAttempt = SentAttempt { backend: BackendId(3), sent_at: 2.5 };

/// Runs a test on a [`tokio::task::LocalSet`], which the tasks of attempts require.
fn run_with_tasks(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn reports_the_write_progress_of_a_running_attempt_only() {
    run_with_tasks(async {
        let mut attempts = RunningAttempts::default();
        let written = CompletionFlag::default();
        let task = tokio::task::spawn_local(std::future::pending::<()>());
        attempts.insert(ATTEMPT_ID, RunningAttempt::new(SENT_ATTEMPT, written.clone(), task.abort_handle()));

        let before_write = attempts.write_progress(ATTEMPT_ID);
        written.set();
        let after_write = attempts.write_progress(ATTEMPT_ID);
        attempts.remove(ATTEMPT_ID);
        let after_end = attempts.write_progress(ATTEMPT_ID);

        assert_eq!(before_write, Some(WriteProgress::Incomplete));
        assert_eq!(after_write, Some(WriteProgress::Complete));
        assert_eq!(after_end, None);
    });
}

#[test]
fn removes_an_attempt_once_and_aborts_its_task() {
    run_with_tasks(async {
        let mut attempts = RunningAttempts::default();
        let task = tokio::task::spawn_local(std::future::pending::<()>());
        attempts.insert(
            ATTEMPT_ID,
            RunningAttempt::new(SENT_ATTEMPT, CompletionFlag::default(), task.abort_handle()),
        );

        let first = attempts.remove(ATTEMPT_ID);
        let second = attempts.remove(ATTEMPT_ID);

        assert_eq!(first, Some(SENT_ATTEMPT));
        assert_eq!(second, None);
        assert!(task.await.unwrap_err().is_cancelled());
    });
}
