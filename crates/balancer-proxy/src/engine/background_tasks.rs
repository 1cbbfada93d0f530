//! The background tasks of the engine, which run until the process ends. One task expires the timers. The
//! other closes idle connections and drops the connection pools of removed backends.

use super::Engine;
use super::supervisor::restart_on_panic;
use balancer::Time;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two sweeps of the idle connections.
const IDLE_CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Spawns the tasks on the current [`tokio::task::LocalSet`].
pub(super) fn spawn(engine: &Rc<Engine>) {
    let timers = engine.clone();
    tokio::task::spawn_local(restart_on_panic(move || run_timers(timers.clone())));
    let sweeps = engine.clone();
    tokio::task::spawn_local(restart_on_panic(move || sweep_idle_connections(sweeps.clone())));
}

async fn run_timers(engine: Rc<Engine>) {
    loop {
        engine.dispatcher.timers.wait_until_due(&engine.dispatcher.clock).await;
        expire_timers(&engine);
    }
}

/// Expires all timers that are due, and records the longest delay.
fn expire_timers(engine: &Engine) {
    let now = engine.dispatcher.clock.now();
    let mut lateness: Time = 0.0;
    while let Some(scheduled) = engine.dispatcher.timers.pop_due(now) {
        lateness = lateness.max(now - scheduled.due);
        engine.dispatcher.expire_timer(scheduled.timer);
    }
    engine.event_loop_lag.record(lateness);
}

async fn sweep_idle_connections(engine: Rc<Engine>) {
    loop {
        tokio::time::sleep(IDLE_CONNECTION_SWEEP_INTERVAL).await;
        let mut state = engine.dispatcher.state();
        state.endpoints.drop_expired_pools(&engine.dispatcher.clock);
        state.endpoints.sweep_idle();
    }
}
