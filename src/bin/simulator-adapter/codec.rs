//! The messages of the simulator's wire: it reads settings, events and endpoints, and writes actions. The words of the
//! wire are the simulator's and stay as they are, whatever the Rust names say.

use crate::error::{FieldProblem, LineError};
use crate::fields::Fields;
use gatherer::policy::{
    Action, AttemptNo, AttemptResult, CellId, ClassId, Endpoint, EndpointStatus, EndpointUpdate, Event,
    JobId, NewPart, NewQuery, Settings, ShardId, TenantId, TimerId, WorkerId, ZoneId,
};
use gatherer::program::settings::FlatSettings;
use std::fmt::Write;
use std::sync::Arc;

/// Reads an endpoint (an `m` line).
pub fn endpoint(line: &str) -> Result<Endpoint, LineError> {
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

/// Reads an event of one instance, after its message name; the caller resolves numbers of endpoint lists.
/// `None` for a message that the module does not use.
pub fn event(
    fields: &mut Fields<'_>,
    list: impl Fn(usize) -> Option<Arc<[Endpoint]>>,
) -> Result<Option<Event>, LineError> {
    let event = match fields.message() {
        "registry" => {
            let how = fields.raw("how")?;
            let _version: Option<i64> = fields.optional("gen")?;
            let number: Option<usize> = fields.optional("roster-id")?;
            let endpoints = |fields: &Fields<'_>| {
                number.and_then(&list).ok_or_else(|| fields.error("roster-id", FieldProblem::UnknownList))
            };
            Some(Event::EndpointUpdate(match how {
                "D" => EndpointUpdate::Delta(endpoints(fields)?),
                "F" => EndpointUpdate::Full(endpoints(fields)?),
                "C" => EndpointUpdate::Cached(endpoints(fields)?),
                "X" => EndpointUpdate::Failed,
                other => {
                    let problem = FieldProblem::UnknownUpdateKind(other.to_owned());
                    return Err(fields.error("how", problem).into());
                }
            }))
        }
        "submit" => Some(submit(fields)?),
        "established" => {
            let id = fields.request("corr")?;
            let attempt = AttemptNo(fields.required("shot")?);
            let _worker: u32 = fields.required("leaf")?;
            let _elapsed = fields.span("cost-time")?;
            Some(Event::StreamingStarted { id, attempt })
        }
        "completed" => Some(Event::AttemptFinished(AttemptResult {
            id: fields.request("corr")?,
            attempt: AttemptNo(fields.required("shot")?),
            worker: WorkerId(fields.required("leaf")?),
            outcome: fields.outcome("disposition")?,
            elapsed: fields.span("cost-time")?.unwrap_or_default(),
            part_finished: fields.flag("ended")?,
            load_report: fields.report("report")?,
        })),
        "client_left" => Some(Event::ClientDisconnected { id: fields.request("corr")? }),
        "due" => Some(Event::TimerFired { timer: TimerId(fields.required("handle")?) }),
        "ping_result" => Some(Event::HealthCheckFinished {
            worker: WorkerId(fields.required("leaf")?),
            outcome: fields.outcome("disposition")?,
            elapsed: fields.span("cost-time")?.unwrap_or_default(),
            load_report: fields.report("report")?,
        }),
        "message" => {
            let _author: u32 = fields.required("author")?;
            let _content = fields.raw("content")?;
            None
        }
        other => return Err(LineError::UnknownMessage(other.to_owned())),
    };
    fields.end()?;
    Ok(event)
}

fn submit(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.request("corr")?;
    let class = ClassId(fields.required("lane")?);
    let tenant = fields.optional("realm")?.map(TenantId);
    let key: Option<String> = fields.optional("name-key")?;
    let valid_until =
        fields.time("valid-until")?.ok_or_else(|| fields.error("valid-until", FieldProblem::Absent))?;
    let cost_hint = fields.span("size-hint")?;
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

/// Reads the `start` message, after its name.
pub fn start(fields: &mut Fields<'_>) -> Result<Settings, LineError> {
    let seed: i128 = fields.required("entropy")?;
    let contracts = FlatSettings::from_text(fields.text()).and_then(|pairs| pairs.contracts(seed as u64));
    Ok(contracts?.settings)
}

/// Writes one action as a line.
pub fn action(action: &Action, out: &mut String) {
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
