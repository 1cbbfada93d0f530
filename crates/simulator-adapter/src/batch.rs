//! A batch that is being read, with the state that lasts until the end of the batch: the selected instance,
//! the endpoint list that is being filled, and the reply.

use super::endpoint_lists::EndpointLists;
use super::instances::{Instance, InstanceIndex, Instances, RunningInstance};
use super::reply::Reply;
use crate::wire::{self, InstanceStart, Line, ListId, WireError, ZoneIds};
use balancer::{Action, Balancer, Event, Time};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The state that is kept between batches: instances, the ids of zones, and endpoint lists.
#[derive(Default)]
pub(super) struct AdapterState {
    instances: Instances,
    zones: ZoneIds,
    lists: EndpointLists,
}

/// An endpoint list whose entries have not all been read.
#[derive(Clone, Copy)]
struct IncompleteList {
    list: ListId,
    /// The number of entries that have not been read, at least 1.
    remaining: usize,
}

impl IncompleteList {
    /// Returns `None` if no entry remains to be read.
    fn new(list: ListId, remaining: usize) -> Option<Self> {
        (remaining > 0).then_some(Self { list, remaining })
    }
}

/// The progress of a batch after a line.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BatchProgress {
    /// More lines of the batch follow.
    Incomplete,
    /// The line was the last one of the batch.
    Complete,
}

/// A batch that is being read.
pub(super) struct Batch {
    /// The number of the batch, which the reply repeats.
    sequence: u64,
    /// The time of all events of the batch, in seconds.
    now: Time,
    selected: Option<InstanceIndex>,
    /// The endpoint list whose entries are the next lines.
    incomplete_list: Option<IncompleteList>,
    reply: Reply,
}

impl Batch {
    /// Starts a batch from its first line.
    ///
    /// # Errors
    ///
    /// Returns [`WireError`] if the line is invalid or does not start a batch.
    pub(super) fn start(state: &mut AdapterState, text: &str) -> Result<Self, WireError> {
        match wire::parse_line(text, &mut state.zones, None)? {
            Line::BatchStart { now, sequence } => {
                Ok(Self { sequence, now, selected: None, incomplete_list: None, reply: Reply::default() })
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

    /// Handles a line of the batch, and returns whether the batch is complete.
    ///
    /// # Errors
    ///
    /// Returns [`WireError`] if the line is invalid or not allowed after the previous lines.
    pub(super) fn handle_line(
        &mut self,
        state: &mut AdapterState,
        text: &str,
    ) -> Result<BatchProgress, WireError> {
        let running = self.selected.and_then(|index| state.instances.get(index).running.as_ref());
        let line = wire::parse_line(text, &mut state.zones, running.map(|running| &running.names))?;
        if let Some(incomplete) = self.incomplete_list.take() {
            let Line::ListedEndpoint(endpoint) = line else {
                return Err(unexpected_line("an ITEM line", text));
            };
            state.lists.push(incomplete.list, endpoint);
            self.incomplete_list = IncompleteList::new(incomplete.list, incomplete.remaining - 1);
            return Ok(BatchProgress::Incomplete);
        }
        match line {
            Line::BatchStart { .. } => return Err(unexpected_line("GO before the next BATCH", text)),
            Line::BatchEnd => return Ok(BatchProgress::Complete),
            Line::SelectInstance(name) => self.selected = Some(state.instances.select(name)),
            Line::StartInstance(start) => self.start_instance(state, text, *start)?,
            Line::StopInstance => self.selected_instance(state, text)?.running = None,
            Line::ListStart { list, length } => {
                state.lists.clear(list);
                self.incomplete_list = IncompleteList::new(list, length);
            }
            Line::ListedEndpoint(_) => return Err(unexpected_line("a ROSTER before its entries", text)),
            Line::ListUpdate(update) => {
                let event = Event::Endpoints(state.lists.endpoint_update(update));
                self.handle_event(&mut state.instances, text, event)?;
            }
            Line::Event(event) => self.handle_event(&mut state.instances, text, event)?,
            Line::Ignored => {
                self.selected_index(text)?;
            }
        }
        Ok(BatchProgress::Incomplete)
    }

    /// Returns the index of the selected instance, or an error with the line that requires an instance.
    fn selected_index(&self, text: &str) -> Result<InstanceIndex, WireError> {
        self.selected.ok_or_else(|| unexpected_line("SELECT first", text))
    }

    fn selected_instance<'a>(
        &self,
        state: &'a mut AdapterState,
        text: &str,
    ) -> Result<&'a mut Instance, WireError> {
        Ok(state.instances.get_mut(self.selected_index(text)?))
    }

    fn start_instance(
        &self,
        state: &mut AdapterState,
        text: &str,
        start: InstanceStart,
    ) -> Result<(), WireError> {
        let balancer = Balancer::new(self.now, start.seed, start.settings);
        let running = RunningInstance { balancer, names: start.names };
        self.selected_instance(state, text)?.running = Some(running);
        Ok(())
    }

    /// Passes an event to the selected instance, and adds the actions of the instance to the reply. If the
    /// instance panics, the reply contains the failure instead of the actions, as actions from before the
    /// panic may be wrong.
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
