//! The messages of the simulator's wire: reads settings, events and endpoints, and writes actions. The
//! simulator defines the words of the wire, which therefore differ from the names of the Rust types.

use crate::error::{FieldProblem, LineError};
use crate::fields::Fields;
use gatherer::policy::{
    Action, AttemptNo, AttemptResult, CellId, ClassId, Endpoint, EndpointStatus, EndpointUpdate, Event,
    JobId, NewPart, NewQuery, Settings, ShardId, TenantId, TimerId, WorkerId, ZoneId,
};
use gatherer::program::settings::FlatSettings;
use std::fmt::Write;
use std::sync::Arc;

/// Reads one entry of an endpoint list (an `m` line).
pub fn read_endpoint(line: &str) -> Result<Endpoint, LineError> {
    let mut fields = Fields::new(line);
    if fields.message() != "m" {
        return Err(LineError::NotAnEndpoint(fields.message().to_owned()));
    }
    let worker = WorkerId(fields.required("leaf")?);
    let zone = ZoneId(fields.optional("area")?.unwrap_or(0));
    let _kind: Option<u32> = fields.optional("generation-hw")?;
    let cell = CellId(fields.optional("set-no")?.unwrap_or(0));
    let status = match fields.raw("status")? {
        "active" => EndpointStatus::Active,
        "leaving" => EndpointStatus::Draining,
        "left" => EndpointStatus::Gone,
        other => {
            let problem = FieldProblem::UnknownStatus(other.to_owned());
            return Err(fields.error("status", problem).into());
        }
    };
    let units = fields.number("units")?.unwrap_or(1.0);
    let started_at = fields.time("online-since")?.filter(|at| at.0 > 0);
    fields.end()?;
    Ok(Endpoint { worker, zone, cell, status, units, started_at })
}

/// Reads the fields of a message to one instance. `find_list` looks an endpoint list up by its number.
/// Returns `None` for a message that the decision module does not use.
pub fn read_event(
    fields: &mut Fields<'_>,
    find_list: impl Fn(usize) -> Option<Arc<[Endpoint]>>,
) -> Result<Option<Event>, LineError> {
    let event = match fields.message() {
        "registry" => Some(Event::EndpointUpdate(read_endpoint_update(fields, find_list)?)),
        "submit" => Some(read_query_or_part(fields)?),
        "established" => Some(read_streaming_started(fields)?),
        "completed" => Some(Event::AttemptFinished(read_attempt_result(fields)?)),
        "client_left" => Some(Event::ClientDisconnected { id: fields.request_id("corr")? }),
        "due" => Some(Event::TimerFired { timer: TimerId(fields.required("handle")?) }),
        "ping_result" => Some(read_health_check_finished(fields)?),
        "message" => {
            skip_instance_message(fields)?;
            None
        }
        other => return Err(LineError::UnknownMessage(other.to_owned())),
    };
    fields.end()?;
    Ok(event)
}

/// Reads the rest of a `registry` message: the result of a poll of the endpoint list.
fn read_endpoint_update(
    fields: &mut Fields<'_>,
    find_list: impl Fn(usize) -> Option<Arc<[Endpoint]>>,
) -> Result<EndpointUpdate, LineError> {
    let kind = fields.raw("how")?;
    let _version: Option<i64> = fields.optional("gen")?;
    let number: Option<usize> = fields.optional("roster-id")?;
    let find_endpoints = || {
        let endpoints = number.and_then(find_list);
        endpoints.ok_or_else(|| fields.error("roster-id", FieldProblem::UnknownList))
    };
    Ok(match kind {
        "D" => EndpointUpdate::Delta(find_endpoints()?),
        "F" => EndpointUpdate::Full(find_endpoints()?),
        "C" => EndpointUpdate::Cached(find_endpoints()?),
        "X" => EndpointUpdate::Failed,
        other => {
            let problem = FieldProblem::UnknownUpdateKind(other.to_owned());
            return Err(fields.error("how", problem).into());
        }
    })
}

/// Reads the rest of an `established` message: the worker has begun to send its response.
fn read_streaming_started(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.request_id("corr")?;
    let attempt = AttemptNo(fields.required("shot")?);
    let _worker: u32 = fields.required("leaf")?;
    let _elapsed = fields.duration("cost-time")?;
    Ok(Event::StreamingStarted { id, attempt })
}

/// Reads the rest of a `completed` message: an attempt has finished.
fn read_attempt_result(fields: &mut Fields<'_>) -> Result<AttemptResult, LineError> {
    Ok(AttemptResult {
        id: fields.request_id("corr")?,
        attempt: AttemptNo(fields.required("shot")?),
        worker: WorkerId(fields.required("leaf")?),
        outcome: fields.outcome("disposition")?,
        elapsed: fields.duration("cost-time")?.unwrap_or_default(),
        part_finished: fields.flag("ended")?,
        load_report: fields.load_report("report")?,
    })
}

/// Reads the rest of a `ping_result` message: a health check has finished.
fn read_health_check_finished(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    Ok(Event::HealthCheckFinished {
        worker: WorkerId(fields.required("leaf")?),
        outcome: fields.outcome("disposition")?,
        elapsed: fields.duration("cost-time")?.unwrap_or_default(),
        load_report: fields.load_report("report")?,
    })
}

/// Skips the rest of a `message` message, a text from another instance: the decision module does not use it.
fn skip_instance_message(fields: &mut Fields<'_>) -> Result<(), LineError> {
    let _author: u32 = fields.required("author")?;
    let _content = fields.raw("content")?;
    Ok(())
}

/// Reads the rest of a `submit` message: a part of a query if it names a shard, otherwise a whole query.
fn read_query_or_part(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.request_id("corr")?;
    let class = ClassId(fields.required("lane")?);
    let tenant = fields.optional("realm")?.map(TenantId);
    let key: Option<String> = fields.optional("name-key")?;
    let valid_until =
        fields.time("valid-until")?.ok_or_else(|| fields.error("valid-until", FieldProblem::Absent))?;
    let cost_hint = fields.duration("size-hint")?;
    let job = JobId(fields.required("job-no")?);
    let shard: f64 = fields.number("range-no")?.unwrap_or(-1.0);
    let weight = fields.number("measure")?.unwrap_or(0.0);
    let is_retry = fields.flag("is-retry")?;
    let _write = fields.flag("is-write")?;
    Ok(if shard < 0.0 {
        Event::QueryReceived(NewQuery { id, class, tenant, valid_until, job, is_retry })
    } else {
        let key = key.map(Arc::from);
        Event::PartReceived(NewPart { id, key, cost_hint, job, shard: ShardId(shard as u32), weight })
    })
}

/// Reads the rest of a `start` message: the seed and the settings of a new instance.
pub fn read_settings(fields: &mut Fields<'_>) -> Result<Settings, LineError> {
    let seed: i128 = fields.required("entropy")?;
    let contracts =
        FlatSettings::from_text(fields.remaining_text()).and_then(|pairs| pairs.contracts(seed as u64));
    Ok(contracts?.settings)
}

/// Writes one action as a line.
pub fn write_action(action: &Action, out: &mut String) {
    let written = match action {
        Action::Send { id, worker, timeout } => {
            writeln!(out, "issue {:016x} {} {}", id.0, worker.0, timeout.as_nanos())
        }
        Action::Cancel { id, attempt } => writeln!(out, "cancel {:016x} {}", id.0, attempt.0),
        Action::Respond { id, complete } => {
            writeln!(out, "conclude {:016x} {}", id.0, u8::from(*complete))
        }
        Action::Reject { id, retry_after } => {
            writeln!(out, "reject {:016x} {}", id.0, retry_after.unwrap_or_default().as_nanos())
        }
        Action::Fail { id } => writeln!(out, "give_up {:016x}", id.0),
        Action::SetTimer { after, timer } => writeln!(out, "sleep {} {}", after.as_nanos(), timer.0),
        Action::SendHealthCheck { worker } => writeln!(out, "sample {}", worker.0),
        Action::SubscribeToEndpoints => writeln!(out, "tail 1"),
        Action::Log { text } => writeln!(out, "trace {}", text.replace(['\n', '\r'], " ")),
    };
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}
