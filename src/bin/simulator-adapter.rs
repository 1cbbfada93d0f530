//! Runs instances of the decision module on the simulator's wire: batches of events come on standard
//! input, and each gets one reply on standard output.
//!
//! [`Host`] owns what lasts from batch to batch, the instances and the endpoint lists; [`Batch`] owns
//! the reply of one batch. Input that the protocol does not allow ends the process with an error.

#![forbid(unsafe_code)]

use balancer_proxy::wire::{
    self, InstanceNames, InstanceStart, LIST_COUNT, Line, ListId, ListUpdate, NameIndex, WireError,
};
use balancer_proxy::{Action, Balancer, Endpoint, EndpointUpdate, Event, Time};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use thiserror::Error;

/// What ends the process.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    #[error("batch {sequence}, line {line}: {source}")]
    InBatch { sequence: u64, line: u64, source: WireError },
    #[error("between batches, line {line}: {source}")]
    BetweenBatches { line: u64, source: WireError },
    #[error("batch {sequence}, line {line}: expected GO, got end of input")]
    EndOfInput { sequence: u64, line: u64 },
}

fn unexpected_line(expected: &'static str, got: &str) -> WireError {
    WireError::UnexpectedLine { expected, got: got.to_string() }
}

/// An instance that has been named.
struct Instance {
    name: String,
    /// `None` before it starts and after it stops.
    running: Option<RunningInstance>,
}

/// An instance that has started.
struct RunningInstance {
    balancer: Balancer,
    /// The names that its events use.
    names: InstanceNames,
}

/// The place of an instance in [`Instances`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InstanceIndex(usize);

/// All instances that have ever been named.
#[derive(Default)]
struct Instances {
    instances: Vec<Instance>,
    by_name: HashMap<String, InstanceIndex>,
}

impl Instances {
    /// The instance of a name, which is added if it is new.
    fn select(&mut self, name: &str) -> InstanceIndex {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = InstanceIndex(self.instances.len());
        self.instances.push(Instance { name: name.to_string(), running: None });
        self.by_name.insert(name.to_string(), index);
        index
    }

    fn get(&self, index: InstanceIndex) -> &Instance {
        &self.instances[index.0]
    }

    fn get_mut(&mut self, index: InstanceIndex) -> &mut Instance {
        &mut self.instances[index.0]
    }
}

/// The endpoint lists, which are filled by one line for each endpoint.
#[derive(Default)]
struct EndpointLists {
    lists: [Vec<Endpoint>; LIST_COUNT],
}

impl EndpointLists {
    fn clear(&mut self, list: ListId) {
        self.lists[list.index()].clear();
    }

    fn push(&mut self, list: ListId, endpoint: Endpoint) {
        self.lists[list.index()].push(endpoint);
    }

    fn endpoint_update(&self, update: ListUpdate) -> EndpointUpdate<'_> {
        match update {
            ListUpdate::Changes(list) => EndpointUpdate::Changes(&self.lists[list.index()]),
            ListUpdate::Full(list) => EndpointUpdate::Full(&self.lists[list.index()]),
            ListUpdate::Cached(list) => EndpointUpdate::Cached(&self.lists[list.index()]),
            ListUpdate::Failed => EndpointUpdate::Failed,
        }
    }
}

/// What lasts from batch to batch.
#[derive(Default)]
struct Host {
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

/// The reply to a batch.
#[derive(Default)]
struct Reply {
    text: String,
    /// The instance that the last lines are from.
    instance: Option<InstanceIndex>,
}

impl Reply {
    /// Names the instance that the next lines are from, unless the last ones are from it too.
    fn set_instance(&mut self, index: InstanceIndex, name: &str) {
        if self.instance != Some(index) {
            self.push_line(&format!("BY {name}"));
            self.instance = Some(index);
        }
    }

    fn push_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }
}

/// Whether a batch goes on after a line.
#[derive(Debug, PartialEq, Eq)]
enum BatchState {
    Incomplete,
    Complete,
}

/// The batch that is being read.
struct Batch {
    sequence: u64,
    /// The time of all its events.
    now: Time,
    selected: Option<InstanceIndex>,
    filling: Option<ListFill>,
    reply: Reply,
}

impl Batch {
    fn new(sequence: u64, now: Time) -> Self {
        Self { sequence, now, selected: None, filling: None, reply: Reply::default() }
    }

    /// Handles a line of the batch.
    fn handle_line(&mut self, host: &mut Host, text: &str) -> Result<BatchState, WireError> {
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
            self.reply.push_line(&format!("DIE {}", failure_message(panic.as_ref())));
            return Ok(());
        }
        for action in &actions {
            wire::write_action(&mut self.reply.text, action);
        }
        Ok(())
    }
}

/// The message of a panic, on one line.
fn failure_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
    format!("panic: {}", text.replace(['\n', '\r'], " "))
}

/// Reads the first line of a batch.
fn start_batch(host: &mut Host, text: &str) -> Result<Batch, WireError> {
    match wire::parse(text, &mut host.zones, None)? {
        Line::BatchStart { now, sequence } => Ok(Batch::new(sequence, now)),
        _ => Err(unexpected_line("BATCH", text)),
    }
}

/// Ends the reply to a batch and writes it.
fn write_reply(mut batch: Batch, output: &mut impl Write) -> Result<(), AdapterError> {
    batch.reply.push_line(&format!("END {}", batch.sequence));
    output.write_all(batch.reply.text.as_bytes()).and_then(|()| output.flush()).map_err(AdapterError::Write)
}

/// Handles all batches of the input, one reply each.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut batch: Option<Batch> = None;
    let mut line = 0;
    for text in input.lines() {
        let text = text.map_err(AdapterError::Read)?;
        line += 1;
        let Some(mut open) = batch.take() else {
            let started = start_batch(&mut host, &text);
            batch = Some(started.map_err(|source| AdapterError::BetweenBatches { line, source })?);
            continue;
        };
        let handled = open.handle_line(&mut host, &text);
        let sequence = open.sequence;
        match handled.map_err(|source| AdapterError::InBatch { sequence, line, source })? {
            BatchState::Complete => write_reply(open, &mut output)?,
            BatchState::Incomplete => batch = Some(open),
        }
    }
    match batch {
        Some(Batch { sequence, .. }) => Err(AdapterError::EndOfInput { sequence, line }),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_becomes_a_one_line_message() {
        let panic = catch_unwind(|| panic!("index {}\nout of range", 3)).unwrap_err();
        assert_eq!(failure_message(panic.as_ref()), "panic: index 3 out of range");
        let panic = catch_unwind(|| panic!("plain")).unwrap_err();
        assert_eq!(failure_message(panic.as_ref()), "panic: plain");
    }
}
