//! The tasks of the engine that run as long as the process: one expires the timers, the other closes
//! idle connections and forgets backends that are gone.

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

/// Carries out all timers that are due, and records how late they were.
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
