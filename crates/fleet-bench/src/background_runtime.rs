//! An asynchronous runtime on a background thread, on which the stub servers run.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// A thread with its own runtime. Dropping the value cancels the tasks of the runtime and joins the thread.
pub struct BackgroundRuntime {
    stop_sender: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundRuntime {
    /// Starts a thread with a runtime, and calls `spawn_tasks` in the context of the runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the runtime or the thread cannot be created.
    pub fn start(name: &str, spawn_tasks: impl FnOnce() + Send + 'static) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop_sender, stopped) = oneshot::channel();
        let run = move || {
            runtime.block_on(async {
                spawn_tasks();
                let _ = stopped.await; // an error means that the sender was dropped, which ends the runtime
            });
        };
        let thread = std::thread::Builder::new().name(name.to_string()).spawn(run)?;
        Ok(Self { stop_sender: Some(stop_sender), thread: Some(thread) })
    }
}

impl Drop for BackgroundRuntime {
    fn drop(&mut self) {
        drop(self.stop_sender.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // the panic of the thread has already been printed
        }
    }
}

/// Binds a non-blocking listener, which a runtime can use.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound.
pub fn bind_nonblocking(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
