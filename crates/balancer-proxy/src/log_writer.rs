//! The log. A separate thread writes log lines to the standard error.
//!
//! A write to a pipe blocks while the pipe is full and its reader does not read. The lines therefore wait for
//! the log thread in a queue of bounded length. A line that is logged while the queue is full is dropped and
//! counted, so that the thread of the proxy never waits.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Largest number of lines that wait to be written.
const MAX_WAITING_LINES: usize = 256;
/// Length in bytes to which a longer line is truncated.
const MAX_LINE_BYTES: usize = 4096;
/// Longest time for which [`flush`] waits for lines that have not been written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A task of the log thread.
enum LogTask {
    /// Write a line.
    Write(String),
    /// Send a notification that all lines before this task have been written.
    Flush(SyncSender<()>),
}

/// The sending side of the queue of the log thread.
struct LogWriter {
    tasks: SyncSender<LogTask>,
    /// Number of lines that were dropped since the last report of dropped lines.
    dropped: AtomicU64,
}

static LOG_WRITER: OnceLock<LogWriter> = OnceLock::new();

impl LogWriter {
    /// Starts the log thread. If the thread cannot be started, all lines are dropped.
    fn start() -> Self {
        let (writer, received) = Self::with_queue(MAX_WAITING_LINES);
        let thread = std::thread::Builder::new().name("log".to_string());
        let _ = thread.spawn(move || write_lines(&received));
        writer
    }

    /// Creates a queue that holds up to `lines` lines, without a thread.
    fn with_queue(lines: usize) -> (Self, Receiver<LogTask>) {
        let (tasks, received) = sync_channel(lines);
        (Self { tasks, dropped: AtomicU64::new(0) }, received)
    }

    /// Queues a line, or counts it as dropped if the queue is full.
    fn write(&self, line: String) {
        if !self.try_write(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a line, and returns whether the line fitted into the queue.
    fn try_write(&self, line: String) -> bool {
        self.tasks.try_send(LogTask::Write(line)).is_ok()
    }

    /// Logs the number of dropped lines. If the queue is full, the number is kept for the next report.
    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let report = log_line(format_args!("log: {dropped} lines dropped, as they were not read in time"));
        if !self.try_write(report) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
}

/// Logs a line without waiting until the line is written.
pub fn write_line(line: Arguments<'_>) {
    LOG_WRITER.get_or_init(LogWriter::start).write(log_line(line));
}

/// Returns the text of a line, truncated to [`MAX_LINE_BYTES`], with a line break at its end.
fn log_line(line: Arguments<'_>) -> String {
    let mut line = line.to_string();
    line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
    line.push('\n');
    line
}

/// Waits until all lines logged so far have been written, but only for a short time if they are not read.
pub fn flush() {
    let Some(writer) = LOG_WRITER.get() else { return };
    let (done, is_done) = sync_channel(1);
    if writer.tasks.try_send(LogTask::Flush(done)).is_ok() {
        let _ = is_done.recv_timeout(FLUSH_TIMEOUT); // the process ends even after a timeout
    }
}

/// Writes lines until the process ends. A line that cannot be written, for example to a closed pipe, is lost.
fn write_lines(tasks: &Receiver<LogTask>) {
    for task in tasks {
        match task {
            LogTask::Write(line) => {
                let _ = std::io::stderr().write_all(line.as_bytes());
            }
            LogTask::Flush(done) => {
                let _ = done.send(());
            }
        }
        if let Some(writer) = LOG_WRITER.get() {
            writer.report_dropped();
        }
    }
}

#[cfg(test)]
mod tests;
