//! Tests of the queue of the log.

use super::{LogWriter, Task};
use std::sync::mpsc::Receiver;

/// Takes the next line from the queue.
fn next_line(queue: &Receiver<Task>) -> String {
    match queue.try_recv() {
        Ok(Task::Write(line)) => line,
        _ => panic!("no line waits"),
    }
}

/// A flood fills each place in the queue at once. The report of dropped lines found no room then and was dropped itself,
/// and with it the count of all lines before.
#[test]
fn a_report_that_finds_no_room_leaves_the_count_for_the_next_one() {
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
