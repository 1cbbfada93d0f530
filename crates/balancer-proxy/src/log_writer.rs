//! The log: lines to the standard error, written by a thread of their own.
//!
//! A pipe that nobody reads blocks its writer. The lines wait for the thread in a queue of bounded length, and a
//! line that finds the queue full is dropped and counted, so that the thread of the proxy never waits.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait to be written.
const MAX_WAITING_LINES: usize = 256;
/// Longest line in bytes; the rest of a longer one is cut off.
const MAX_LINE_BYTES: usize = 4096;
/// Longest wait for the lines that are left when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the thread of the log has to do.
enum Task {
    /// Write a line.
    Write(String),
    /// Report that all lines before have been written.
    Report(SyncSender<()>),
}

/// The queue of the thread.
struct LogWriter {
    tasks: SyncSender<Task>,
    /// Lines dropped since the last report of them.
    dropped: AtomicU64,
}

static LOG_WRITER: OnceLock<LogWriter> = OnceLock::new();

impl LogWriter {
    /// Starts the thread. Without a thread all lines are dropped.
    fn start() -> Self {
        let (writer, received) = Self::with_queue(MAX_WAITING_LINES);
        let thread = std::thread::Builder::new().name("log".to_string());
        let _ = thread.spawn(move || write_lines(&received));
        writer
    }

    /// Creates a queue for this many lines, without a thread.
    fn with_queue(lines: usize) -> (Self, Receiver<Task>) {
        let (tasks, received) = sync_channel(lines);
        (Self { tasks, dropped: AtomicU64::new(0) }, received)
    }

    /// Queues a line, or counts it as dropped if the queue is full.
    fn write(&self, line: String) {
        if !self.try_write(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a line, and returns whether the queue had room for it.
    fn try_write(&self, line: String) -> bool {
        self.tasks.try_send(Task::Write(line)).is_ok()
    }

    /// Logs how many lines have been dropped. The count stays for the next report if the queue is full again.
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

/// Logs a line, without waiting for it to be written.
pub fn write_line(line: Arguments<'_>) {
    LOG_WRITER.get_or_init(LogWriter::start).write(log_line(line));
}

/// Returns the text of a line, cut off if it is too long.
fn log_line(line: Arguments<'_>) -> String {
    let mut line = line.to_string();
    line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
    line.push('\n');
    line
}

/// Waits until all lines so far have been written, but not for long if nobody reads them.
pub fn flush() {
    let Some(writer) = LOG_WRITER.get() else { return };
    let (done, is_done) = sync_channel(1);
    if writer.tasks.try_send(Task::Report(done)).is_ok() {
        let _ = is_done.recv_timeout(FLUSH_TIMEOUT); // the process ends in any case
    }
}

/// Writes lines until the process ends. A line that cannot be written, as the pipe is closed, is lost.
fn write_lines(tasks: &Receiver<Task>) {
    for task in tasks {
        match task {
            Task::Write(line) => {
                let _ = std::io::stderr().write_all(line.as_bytes());
            }
            Task::Report(done) => {
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
