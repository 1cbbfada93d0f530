//! Resource usage of a process and load of the machine, read from procfs.

use crate::error::Error;
use procfs::process::Process;
use procfs::{CpuPressure, Current, LoadAverage, ProcError};
use std::time::{Duration, Instant};

/// The resource usage of a process at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Time of the reading.
    pub at: Instant,
    /// Processor time since the start of the process.
    pub processor_time: Duration,
    /// Time since the start of the process in which its threads were runnable but waited for a processor,
    /// summed over the threads.
    pub run_queue_wait: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak of the resident memory, in bytes.
    pub peak_resident_bytes: u64,
    /// Number of open file descriptors.
    pub open_files: usize,
}

impl ProcessUsage {
    /// Reads the resource usage of a process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if the process has ended or procfs cannot be read.
    pub fn read(process: &Process) -> Result<Self, Error> {
        let status = process.status()?;
        let bytes = |kilobytes: Option<u64>| kilobytes.unwrap_or(0) * 1024;
        // `schedstat` counts nanoseconds. `stat` is too coarse: one of its ticks is as long as the processor
        // time that the budget allows a proxy in one second.
        let mut processor_nanos = 0;
        let mut wait_nanos = 0;
        for task in process.tasks()? {
            let counts = task?.schedstat()?;
            processor_nanos += counts.sum_exec_runtime;
            wait_nanos += counts.run_delay;
        }
        Ok(Self {
            at: Instant::now(),
            processor_time: Duration::from_nanos(processor_nanos),
            run_queue_wait: Duration::from_nanos(wait_nanos),
            resident_bytes: bytes(status.vmrss),
            peak_resident_bytes: bytes(status.vmhwm),
            open_files: process.fd_count()?,
        })
    }

    /// Reads the resource usage of this process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if procfs cannot be read.
    pub fn of_self() -> Result<Self, Error> {
        Self::read(&Process::myself()?)
    }

    /// Returns the mean processor time since an earlier reading, as a fraction of a core.
    #[must_use]
    pub fn cores_since(&self, earlier: &Self) -> f64 {
        let spent = self.processor_time.saturating_sub(earlier.processor_time);
        spent.as_secs_f64() / self.at.duration_since(earlier.at).as_secs_f64()
    }
}

/// The load that all processes place on the machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineLoad {
    at: Instant,
    stalled: Duration,
    /// Number of running and runnable tasks, averaged over the last minute.
    pub load_average: f64,
}

impl MachineLoad {
    /// Reads the present load of the machine.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if procfs cannot be read.
    pub fn now() -> Result<Self, Error> {
        let read = || -> Result<Self, ProcError> {
            let stalled = Duration::from_micros(CpuPressure::current()?.some.total);
            let load_average = f64::from(LoadAverage::current()?.one);
            Ok(Self { at: Instant::now(), stalled, load_average })
        };
        Ok(read()?)
    }

    /// Returns the fraction of the time since an earlier reading in which a task waited for a processor.
    #[must_use]
    pub fn stall_fraction_since(&self, earlier: &Self) -> f64 {
        let stalled = self.stalled.saturating_sub(earlier.stalled);
        stalled.as_secs_f64() / self.at.duration_since(earlier.at).as_secs_f64()
    }

    /// Returns a note for a report with the load at the start of the run, which is `self`, and the present
    /// load.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if procfs cannot be read.
    pub fn note_with_present_load(&self) -> Result<String, Error> {
        let start = self.load_average;
        let end = Self::now()?.load_average;
        Ok(format!("Load of the machine (1 min): {start:.1} at the start, {end:.1} at the end."))
    }
}
