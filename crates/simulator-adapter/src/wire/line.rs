//! Parses the lines of a batch: its start and end, the selection of an instance, and the events of that
//! instance.

use super::endpoint_list::{self, ListId, ListUpdate};
use super::error::{Result, WireError};
use super::names::{InstanceNames, ZoneIds};
use super::settings;
use super::values::{self, ABSENT_VALUE};
use balancer::{
    AttemptNumber, BackendId, EndedAttempt, Endpoint, Event, LoadReport, Request, Settings, Time, TimerToken,
};

/// The name of the load report value that gives the service time in milliseconds.
const SERVICE_TIME_FIELD: &str = "avg_ms";
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A line of a batch.
#[derive(Debug)]
pub enum Line<'a> {
    /// A batch starts.
    BatchStart {
        /// The time of all events of the batch, in seconds.
        now: Time,
        /// The number of the batch, which the reply repeats.
        sequence: u64,
    },
    /// The batch is complete.
    BatchEnd,
    /// The next lines apply to the instance with this name.
    SelectInstance(&'a str),
    /// The selected instance starts.
    StartInstance(Box<InstanceStart>),
    /// The selected instance has stopped.
    StopInstance,
    /// The entries of an endpoint list follow, one per line.
    ListStart {
        /// The list that is filled.
        list: ListId,
        /// The number of entries of the list.
        length: usize,
    },
    /// An entry of an endpoint list.
    ListedEndpoint(Endpoint),
    /// The selected instance is notified of an endpoint list.
    ListUpdate(ListUpdate),
    /// Any other event of the selected instance.
    Event(Event<'static>),
    /// An event of the selected instance that the decision module does not use.
    Ignored,
}

/// The start of an instance.
#[derive(Debug)]
pub struct InstanceStart {
    /// The seed of the random draws of the instance.
    pub seed: u64,
    /// The settings of the instance.
    pub settings: Settings,
    /// The names that events of the instance will use.
    pub names: InstanceNames,
}

/// Parses a line. `instance` contains the names of the selected instance, if that instance has started. The
/// zones that the line names are added to `zones`.
///
/// # Errors
///
/// Returns [`WireError`] if the first word of the line is unknown, a value is missing or invalid, or a
/// request arrives before the selected instance has started.
pub fn parse_line<'a>(
    line: &'a str,
    zones: &mut ZoneIds,
    instance: Option<&InstanceNames>,
) -> Result<Line<'a>> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    match name {
        "BATCH" => parse_batch_start(rest),
        "GO" => values::split("GO", rest).map(|[]| Line::BatchEnd),
        "SELECT" => values::split("SELECT", rest).map(|[name]| Line::SelectInstance(name)),
        "HELLO" => parse_instance_start(rest, zones),
        "TEARDOWN" => values::split("TEARDOWN", rest).map(|[]| Line::StopInstance),
        "ROSTER" => parse_list_start(rest),
        "ITEM" => endpoint_list::parse_endpoint(rest, zones).map(Line::ListedEndpoint),
        "UPDATE" => ListUpdate::parse(rest).map(Line::ListUpdate),
        "QUERY" => parse_request(rest, instance).map(|request| Line::Event(Event::Request(request))),
        "BEGUN" => parse_response_started(rest).map(Line::Event),
        "RESULT" => parse_ended_attempt(rest, instance).map(|ended| Line::Event(Event::AttemptEnded(ended))),
        "CLIENT_LEFT" => parse_client_disconnected(rest).map(Line::Event),
        "TICK_DUE" => parse_timer(rest).map(Line::Event),
        "HEALTH" => parse_health_check_ended(rest, instance).map(Line::Event),
        "PEER" => check_peer_message(rest).map(|()| Line::Ignored),
        _ => Err(WireError::UnknownEvent(name.to_string())),
    }
}

fn parse_batch_start(text: &str) -> Result<Line<'static>> {
    let [now, sequence] = values::split("BATCH", text)?;
    Ok(Line::BatchStart {
        now: values::parse_number("the clock", now)?,
        sequence: values::parse_integer("the batch number", sequence)?,
    })
}

fn parse_instance_start(text: &str, zones: &mut ZoneIds) -> Result<Line<'static>> {
    let (seed, pairs) = text.split_once(' ').unwrap_or((text, ""));
    let (settings, names) = settings::parse_settings(pairs, zones)?;
    let seed = values::parse_integer("the seed", seed)?;
    Ok(Line::StartInstance(Box::new(InstanceStart { seed, settings, names })))
}

fn parse_list_start(text: &str) -> Result<Line<'static>> {
    let [list, length] = values::split("ROSTER", text)?;
    Ok(Line::ListStart {
        list: ListId::parse(list)?,
        length: values::parse_integer("the number of entries", length)?,
    })
}

fn parse_request(text: &str, instance: Option<&InstanceNames>) -> Result<Request> {
    let [id, write, key, timeout, retry, tenant, class, work] = values::split("QUERY", text)?;
    values::parse_flag("the write flag", write)?;
    let key = values::parse_ordering_key(key)?;
    if retry != ABSENT_VALUE {
        values::parse_flag("the retry flag", retry)?;
    }
    if work != ABSENT_VALUE {
        values::parse_non_negative("the predicted work", work)?;
    }
    let names = instance.ok_or_else(|| WireError::UnexpectedLine {
        expected: "HELLO before any request",
        got: "QUERY".to_string(),
    })?;
    let class = names.class_index(class);
    let class =
        class.ok_or_else(|| WireError::invalid_value("the class", "a class of the settings", text))?;
    let tenant = names.tenant_index(tenant);
    let timeout = values::parse_number("the timeout", timeout)?;
    Ok(Request { id: values::parse_request_id(id)?, class, tenant, key, timeout, streaming_body: false })
}

fn parse_response_started(text: &str) -> Result<Event<'static>> {
    let [id, duration, attempt, backend] = values::split("BEGUN", text)?;
    values::parse_non_negative("the duration", duration)?;
    values::parse_integer::<u32>("the backend id", backend)?;
    let attempt = AttemptNumber(values::parse_integer("the attempt number", attempt)?);
    Ok(Event::ResponseStarted { id: values::parse_request_id(id)?, attempt })
}

fn parse_ended_attempt(text: &str, instance: Option<&InstanceNames>) -> Result<EndedAttempt> {
    let [id, backend, attempt, outcome, duration, finished, report] = values::split("RESULT", text)?;
    Ok(EndedAttempt {
        id: values::parse_request_id(id)?,
        backend: BackendId(values::parse_integer("the backend id", backend)?),
        attempt: AttemptNumber(values::parse_integer("the attempt number", attempt)?),
        outcome: values::parse_outcome(outcome)?,
        duration: values::parse_non_negative("the duration", duration)?,
        request_finished: values::parse_flag("the flag of a finished request", finished)?,
        report: parse_load_report(report, instance)?,
    })
}

fn parse_client_disconnected(text: &str) -> Result<Event<'static>> {
    let [id] = values::split("CLIENT_LEFT", text)?;
    values::parse_request_id(id).map(Event::ClientDisconnected)
}

fn parse_timer(text: &str) -> Result<Event<'static>> {
    let [token] = values::split("TICK_DUE", text)?;
    values::parse_integer("the timer token", token).map(|token| Event::Timer(TimerToken(token)))
}

fn parse_health_check_ended(text: &str, instance: Option<&InstanceNames>) -> Result<Event<'static>> {
    let [duration, backend, outcome, report] = values::split("HEALTH", text)?;
    values::parse_non_negative("the duration", duration)?;
    let report = parse_load_report(report, instance)?;
    let backend = BackendId(values::parse_integer("the backend id", backend)?);
    Ok(Event::HealthCheckEnded { backend, outcome: values::parse_outcome(outcome)?, report })
}

/// Checks a message of another instance, which the decision module does not use.
fn check_peer_message(text: &str) -> Result<()> {
    let [sender, message] = values::split("PEER", text)?;
    values::parse_integer::<u64>("the sender", sender)?;
    if message != ABSENT_VALUE && !message.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(WireError::invalid_value("the peer message", "hex digits", message));
    }
    Ok(())
}

/// Parses a load report. Values that the decision module does not use are skipped; negative values count
/// as 0.
fn parse_load_report(text: &str, instance: Option<&InstanceNames>) -> Result<Option<LoadReport>> {
    if text == ABSENT_VALUE {
        return Ok(None);
    }
    let mut report = LoadReport::default();
    let fields = instance.map_or(&[][..], |names| &names.load_report_fields);
    for (index, value) in text.split(',').enumerate().filter(|(_, value)| *value != ABSENT_VALUE) {
        let value = values::parse_number("the load report", value)?.max(0.0);
        if fields.get(index).is_some_and(|field| field == SERVICE_TIME_FIELD) {
            report.service_time = Some(value / MILLISECONDS_PER_SECOND);
        }
    }
    Ok(Some(report))
}
