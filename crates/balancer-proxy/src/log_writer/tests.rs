//! Tests of the queue of the log.

use super::{LogTask, LogWriter};
use std::sync::mpsc::Receiver;

/// Removes the next line from the queue and returns it.
fn next_line(queue: &Receiver<LogTask>) -> String {
    match queue.try_recv() {
        Ok(LogTask::Write(line)) => line,
        _ => panic!("no line waits"),
    }
}

/// Guards against the loss of the number of dropped lines. While many lines are logged, the queue can be full
/// when the number is reported. The report was then dropped, and its number was lost.
#[test]
fn a_report_that_exceeds_the_queue_keeps_the_count_for_the_next_report() {
    let (writer, queue) = LogWriter::with_queue(1);
    for line in 0..4 {
        writer.write(format!("line {line}\n"));
    }

    writer.report_dropped();
    let first = next_line(&queue);
    writer.report_dropped();
    let report = next_line(&queue);
    writer.report_dropped();

    assert_eq!(first, "line 0\n");
    assert_eq!(report, "log: 3 lines dropped, as they were not read in time\n");
    assert!(queue.try_recv().is_err(), "the lines were reported twice");
}
