//! The lines of a batch: its frame, the instance that lines are about, and that instance's events.

use super::endpoint_list::{self, ListId, ListUpdate};
use super::error::{Result, WireError};
use super::names::{InstanceNames, NameIndex};
use super::settings;
use super::values::{self, ABSENT};
use balancer::{BackendId, EndedAttempt, Endpoint, Event, LoadReport, Request, Settings, Time, TimerToken};

/// The value of a load report that is a service time, in milliseconds.
const SERVICE_TIME_FIELD: &str = "avg_ms";
const MS_PER_SEC: f64 = 1000.0;

/// A line of a batch.
#[derive(Debug)]
pub enum Line<'a> {
    /// The batch begins.
    BatchStart {
        /// The time of all its events.
        now: Time,
        /// Its number, which its reply repeats.
        sequence: u64,
    },
    /// The batch is complete.
    BatchEnd,
    /// The lines that follow are about the instance of this name.
    SelectInstance(&'a str),
    /// The instance starts.
    StartInstance(Box<InstanceStart>),
    /// The instance is gone.
    StopInstance,
    /// The endpoints of a list follow, one a line.
    ListStart {
        /// The list.
        list: ListId,
        /// Number of its endpoints.
        length: usize,
    },
    /// An endpoint of a list.
    ListedEndpoint(Endpoint),
    /// The instance is notified of endpoints.
    ListUpdate(ListUpdate),
    /// Any other event of the instance.
    Event(Event<'static>),
    /// An event of the instance that the decisions do not need.
    Ignored,
}

/// What an instance starts with.
#[derive(Debug)]
pub struct InstanceStart {
    /// Seed of its random draws.
    pub seed: u64,
    /// Its settings.
    pub settings: Settings,
    /// The names that its events will use.
    pub names: InstanceNames,
}

/// Reads a line. `instance` has the names of the selected instance, if that has started; `zones`
/// gets the zones that the line names.
///
/// # Errors
///
/// Returns an error if the line names no event, or a value of it is missing or invalid, or if it is a
/// request to an instance that has not started.
pub fn parse<'a>(line: &'a str, zones: &mut NameIndex, instance: Option<&InstanceNames>) -> Result<Line<'a>> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    match name {
        "BATCH" => batch_start(rest),
        "GO" => values::split("GO", rest).map(|[]| Line::BatchEnd),
        "SELECT" => values::split("SELECT", rest).map(|[name]| Line::SelectInstance(name)),
        "HELLO" => instance_start(rest, zones),
        "TEARDOWN" => values::split("TEARDOWN", rest).map(|[]| Line::StopInstance),
        "ROSTER" => list_start(rest),
        "ITEM" => endpoint_list::endpoint(rest, zones).map(Line::ListedEndpoint),
        "UPDATE" => ListUpdate::parse(rest).map(Line::ListUpdate),
        "QUERY" => request(rest, instance).map(|request| Line::Event(Event::Request(request))),
        "BEGUN" => response_started(rest).map(Line::Event),
        "RESULT" => ended_attempt(rest, instance).map(|ended| Line::Event(Event::AttemptEnded(ended))),
        "CLIENT_LEFT" => client_disconnected(rest).map(Line::Event),
        "TICK_DUE" => timer(rest).map(Line::Event),
        "HEALTH" => health_check_ended(rest, instance).map(Line::Event),
        "PEER" => peer_message(rest).map(|()| Line::Ignored),
        _ => Err(WireError::UnknownEvent(name.to_string())),
    }
}

fn batch_start(text: &str) -> Result<Line<'static>> {
    let [now, sequence] = values::split("BATCH", text)?;
    Ok(Line::BatchStart {
        now: values::number("the clock", now)?,
        sequence: values::integer("the batch number", sequence)?,
    })
}

fn instance_start(text: &str, zones: &mut NameIndex) -> Result<Line<'static>> {
    let (seed, pairs) = text.split_once(' ').unwrap_or((text, ""));
    let (settings, names) = settings::parse(pairs, zones)?;
    let seed = values::integer("the seed", seed)?;
    Ok(Line::StartInstance(Box::new(InstanceStart { seed, settings, names })))
}

fn list_start(text: &str) -> Result<Line<'static>> {
    let [list, length] = values::split("ROSTER", text)?;
    Ok(Line::ListStart {
        list: ListId::parse(list)?,
        length: values::integer("the number of entries", length)?,
    })
}

fn request(text: &str, instance: Option<&InstanceNames>) -> Result<Request> {
    let [id, write, key, timeout, retry, tenant, class, work] = values::split("QUERY", text)?;
    values::flag("the write mark", write)?;
    let key = values::ordering_key(key)?;
    if retry != ABSENT {
        values::flag("the retry mark", retry)?;
    }
    if work != ABSENT {
        values::non_negative("the predicted work", work)?;
    }
    let names = instance.ok_or_else(|| WireError::UnexpectedLine {
        expected: "HELLO before any request",
        got: "QUERY".to_string(),
    })?;
    let class = names.classes.iter().position(|name| name == class);
    let class =
        class.ok_or_else(|| WireError::invalid_value("the class", "a class of the settings", text))?;
    let tenant = names.tenants.iter().position(|name| name == tenant);
    let timeout = values::number("the time left", timeout)?;
    Ok(Request { id: values::request_id(id)?, class, tenant, key, timeout, streaming_body: false })
}

fn response_started(text: &str) -> Result<Event<'static>> {
    let [id, duration, attempt, backend] = values::split("BEGUN", text)?;
    values::non_negative("the duration", duration)?;
    values::integer::<u32>("the backend", backend)?;
    let attempt = values::integer("the attempt", attempt)?;
    Ok(Event::ResponseStarted { id: values::request_id(id)?, attempt })
}

fn ended_attempt(text: &str, instance: Option<&InstanceNames>) -> Result<EndedAttempt> {
    let [id, backend, attempt, outcome, duration, finished, report] = values::split("RESULT", text)?;
    Ok(EndedAttempt {
        id: values::request_id(id)?,
        backend: BackendId(values::integer("the backend", backend)?),
        attempt: values::integer("the attempt", attempt)?,
        outcome: values::outcome(outcome)?,
        duration: values::non_negative("the duration", duration)?,
        request_finished: values::flag("the end mark", finished)?,
        report: load_report(report, instance)?,
    })
}

fn client_disconnected(text: &str) -> Result<Event<'static>> {
    let [id] = values::split("CLIENT_LEFT", text)?;
    values::request_id(id).map(Event::ClientDisconnected)
}

fn timer(text: &str) -> Result<Event<'static>> {
    let [token] = values::split("TICK_DUE", text)?;
    values::integer("the token", token).map(|token| Event::Timer(TimerToken(token)))
}

fn health_check_ended(text: &str, instance: Option<&InstanceNames>) -> Result<Event<'static>> {
    let [duration, backend, outcome, report] = values::split("HEALTH", text)?;
    values::non_negative("the duration", duration)?;
    let report = load_report(report, instance)?;
    let backend = BackendId(values::integer("the backend", backend)?);
    Ok(Event::HealthCheckEnded { backend, outcome: values::outcome(outcome)?, report })
}

/// Checks a message of another instance, which the decisions do not need.
fn peer_message(text: &str) -> Result<()> {
    let [sender, message] = values::split("PEER", text)?;
    values::integer::<u64>("the sender", sender)?;
    if message != ABSENT && !message.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(WireError::invalid_value("the message", "hex digits", message));
    }
    Ok(())
}

/// Reads a load report. Values that the decisions cannot use are skipped, negative ones taken as 0.
fn load_report(text: &str, instance: Option<&InstanceNames>) -> Result<Option<LoadReport>> {
    if text == ABSENT {
        return Ok(None);
    }
    let mut report = LoadReport::default();
    let fields = instance.map_or(&[][..], |names| &names.load_report_fields);
    for (index, value) in text.split(',').enumerate().filter(|(_, value)| *value != ABSENT) {
        let value = values::number("the load report", value)?.max(0.0);
        if fields.get(index).is_some_and(|field| field == SERVICE_TIME_FIELD) {
            report.service_time = Some(value / MS_PER_SEC);
        }
    }
    Ok(Some(report))
}
