//! A batch of events. Owns the instance selected and the list being filled, both of which end with the
//! batch, and produces one reply for the simulator.

use super::endpoint_lists::EndpointLists;
use super::instances::{Instance, InstanceIndex, Instances, RunningInstance};
use super::reply::Reply;
use crate::wire::{self, InstanceStart, Line, ListId, NameIndex, WireError};
use balancer::{Action, Balancer, Event, Time};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// What lasts from batch to batch.
#[derive(Default)]
pub(super) struct Host {
    instances: Instances,
    zones: NameIndex,
    lists: EndpointLists,
}

/// A list that is being filled.
#[derive(Clone, Copy)]
struct ListFill {
    list: ListId,
    /// Number of endpoints still to come, at least 1.
    missing: usize,
}

impl ListFill {
    fn new(list: ListId, missing: usize) -> Option<Self> {
        (missing > 0).then_some(Self { list, missing })
    }
}

/// Whether a batch goes on after a line.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BatchState {
    Incomplete,
    Complete,
}

/// The batch that is being read.
pub(super) struct Batch {
    sequence: u64,
    /// The time of all its events.
    now: Time,
    selected: Option<InstanceIndex>,
    filling: Option<ListFill>,
    reply: Reply,
}

impl Batch {
    /// Starts a batch with its first line.
    pub(super) fn start(host: &mut Host, text: &str) -> Result<Self, WireError> {
        match wire::parse(text, &mut host.zones, None)? {
            Line::BatchStart { now, sequence } => {
                Ok(Self { sequence, now, selected: None, filling: None, reply: Reply::default() })
            }
            _ => Err(unexpected_line("BATCH", text)),
        }
    }

    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Ends the batch, and returns its reply.
    pub(super) fn into_reply(self) -> String {
        self.reply.finish(self.sequence)
    }

    /// Handles a line of the batch.
    pub(super) fn handle_line(&mut self, host: &mut Host, text: &str) -> Result<BatchState, WireError> {
        let running = self.selected.and_then(|index| host.instances.get(index).running.as_ref());
        let line = wire::parse(text, &mut host.zones, running.map(|running| &running.names))?;
        if let Some(fill) = self.filling.take() {
            let Line::ListedEndpoint(endpoint) = line else {
                return Err(unexpected_line("an ITEM line", text));
            };
            host.lists.push(fill.list, endpoint);
            self.filling = ListFill::new(fill.list, fill.missing - 1);
            return Ok(BatchState::Incomplete);
        }
        match line {
            Line::BatchStart { .. } => return Err(unexpected_line("GO before the next BATCH", text)),
            Line::BatchEnd => return Ok(BatchState::Complete),
            Line::SelectInstance(name) => self.selected = Some(host.instances.select(name)),
            Line::StartInstance(start) => self.start_instance(host, text, *start)?,
            Line::StopInstance => self.selected_instance(host, text)?.running = None,
            Line::ListStart { list, length } => {
                host.lists.clear(list);
                self.filling = ListFill::new(list, length);
            }
            Line::ListedEndpoint(_) => return Err(unexpected_line("a ROSTER before its entries", text)),
            Line::ListUpdate(update) => {
                let event = Event::Endpoints(host.lists.endpoint_update(update));
                self.handle_event(&mut host.instances, text, event)?;
            }
            Line::Event(event) => self.handle_event(&mut host.instances, text, event)?,
            Line::Ignored => {
                self.selected_index(text)?;
            }
        }
        Ok(BatchState::Incomplete)
    }

    fn selected_index(&self, text: &str) -> Result<InstanceIndex, WireError> {
        self.selected.ok_or_else(|| unexpected_line("SELECT first", text))
    }

    fn selected_instance<'a>(&self, host: &'a mut Host, text: &str) -> Result<&'a mut Instance, WireError> {
        Ok(host.instances.get_mut(self.selected_index(text)?))
    }

    fn start_instance(&self, host: &mut Host, text: &str, start: InstanceStart) -> Result<(), WireError> {
        let balancer = Balancer::new(self.now, start.seed, start.settings);
        let running = RunningInstance { balancer, names: start.names };
        self.selected_instance(host, text)?.running = Some(running);
        Ok(())
    }

    /// Lets the selected instance decide on an event, and adds its actions to the reply. If it panics,
    /// the reply has the failure in their place: actions from before the panic are not to be trusted.
    fn handle_event(
        &mut self,
        instances: &mut Instances,
        text: &str,
        event: Event<'_>,
    ) -> Result<(), WireError> {
        let index = self.selected_index(text)?;
        let Instance { name, running } = instances.get_mut(index);
        let running = running.as_mut().ok_or_else(|| unexpected_line("HELLO first", text))?;
        let mut actions: Vec<Action> = Vec::new();
        let handle = AssertUnwindSafe(|| running.balancer.handle(self.now, event, &mut actions));
        let handled = catch_unwind(handle);
        if handled.is_ok() && actions.is_empty() {
            return Ok(());
        }
        self.reply.set_instance(index, name);
        if let Err(panic) = handled {
            self.reply.push_failure(&failure_message(panic.as_ref()));
            return Ok(());
        }
        for action in &actions {
            self.reply.push_action(action);
        }
        Ok(())
    }
}

fn unexpected_line(expected: &'static str, got: &str) -> WireError {
    WireError::UnexpectedLine { expected, got: got.to_string() }
}

/// The message of a panic, on one line.
fn failure_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
    format!("panic: {}", text.replace(['\n', '\r'], " "))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_a_panic_on_one_line() {
        let panic = catch_unwind(|| panic!("index {}\nout of range", 3)).unwrap_err();
        assert_eq!(failure_message(panic.as_ref()), "panic: index 3 out of range");
        let panic = catch_unwind(|| panic!("plain")).unwrap_err();
        assert_eq!(failure_message(panic.as_ref()), "panic: plain");
    }
}
