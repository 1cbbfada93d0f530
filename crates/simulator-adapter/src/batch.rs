//! The batch that is being read. Owns the selected instance, the endpoint list that is being filled and the
//! reply, all of which end with the batch.

use super::endpoint_lists::EndpointLists;
use super::instances::{Instance, InstanceIndex, Instances, RunningInstance};
use super::reply::Reply;
use crate::wire::{self, InstanceStart, Line, ListId, WireError, ZoneIds};
use balancer::{Action, Balancer, Event, Time};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The state that lasts from batch to batch: instances, the numbers of zones, and endpoint lists.
#[derive(Default)]
pub(super) struct Host {
    instances: Instances,
    zones: ZoneIds,
    lists: EndpointLists,
}

/// An endpoint list of which entries are still to come.
#[derive(Clone, Copy)]
struct ListFill {
    list: ListId,
    /// Number of entries still to come, at least 1.
    missing: usize,
}

impl ListFill {
    /// Returns `None` if no entry is missing.
    fn new(list: ListId, missing: usize) -> Option<Self> {
        (missing > 0).then_some(Self { list, missing })
    }
}

/// State of a batch after a line.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BatchState {
    /// Lines of the batch are still to come.
    Incomplete,
    /// The line was the last one of the batch.
    Complete,
}

/// A batch that is being read.
pub(super) struct Batch {
    /// Number of the batch, which its reply repeats.
    sequence: u64,
    /// Time of all events of the batch, in seconds.
    now: Time,
    selected: Option<InstanceIndex>,
    filling: Option<ListFill>,
    reply: Reply,
}

impl Batch {
    /// Starts a batch with its first line.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the line is invalid, or starts no batch.
    pub(super) fn start(host: &mut Host, text: &str) -> Result<Self, WireError> {
        match wire::parse_line(text, &mut host.zones, None)? {
            Line::BatchStart { now, sequence } => {
                Ok(Self { sequence, now, selected: None, filling: None, reply: Reply::default() })
            }
            _ => Err(unexpected_line("BATCH", text)),
        }
    }

    /// Returns the number of the batch.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Ends the batch, and returns the text of its reply.
    pub(super) fn into_reply(self) -> String {
        self.reply.finish(self.sequence)
    }

    /// Handles a line of the batch, and returns whether the batch goes on after that line.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the line is invalid, or may not follow the lines before.
    pub(super) fn handle_line(&mut self, host: &mut Host, text: &str) -> Result<BatchState, WireError> {
        let running = self.selected.and_then(|index| host.instances.get(index).running.as_ref());
        let line = wire::parse_line(text, &mut host.zones, running.map(|running| &running.names))?;
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

    /// Returns the selected instance, or an error that quotes the line which needs one.
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

    /// Passes an event to the selected instance, and adds the actions of the instance to the reply. If the
    /// instance panics, the reply has the failure in place of the actions: actions from before the panic are
    /// not to be trusted.
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
        match handled {
            Ok(()) => actions.iter().for_each(|action| self.reply.push_action(action)),
            Err(panic) => self.reply.push_failure(&failure_message(panic.as_ref())),
        }
        Ok(())
    }
}

fn unexpected_line(expected: &'static str, got: &str) -> WireError {
    WireError::UnexpectedLine { expected, got: got.to_string() }
}

/// Returns the message of a panic, on one line.
fn failure_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
    format!("panic: {}", text.replace(['\n', '\r'], " "))
}

#[cfg(test)]
mod tests;
