//! Batches and instances: sorts a batch's events by instance, runs a step of each, and writes the reply.

use crate::codec;
use crate::error::LineError;
use crate::fields::Fields;
use gatherer::Aggregator;
use gatherer::policy::{Endpoint, Event, Time};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// An instance of the decision module, with the events that it gets in this batch.
struct Instance {
    aggregator: Aggregator,
    events: Vec<Event>,
    /// The batch names it, if only to start it: it takes a step.
    touched: bool,
}

/// An endpoint list of which entries are still to come.
struct PartialList {
    number: usize,
    length: usize,
    endpoints: Vec<Endpoint>,
}

/// All instances of the process; they share the numbered lists and nothing else.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<usize, Arc<[Endpoint]>>,
    /// The time of the batch that is being read; `None` between batches.
    batch_time: Option<Time>,
    /// The instance that the next events are for.
    addressee: Option<u32>,
    /// The list that the next lines belong to.
    partial_list: Option<PartialList>,
}

impl Host {
    /// Reads one line; true when a batch is complete and `reply` holds its reply.
    pub fn line(&mut self, line: &str, reply: &mut String) -> Result<bool, LineError> {
        if let Some(mut list) = self.partial_list.take() {
            list.endpoints.push(codec::endpoint(line)?);
            self.add_list(list);
            return Ok(false);
        }
        let mut fields = Fields::new(line);
        let Some(now) = self.batch_time else {
            if fields.message() != "turn" {
                return Err(LineError::OutsideBatch(fields.message().to_owned()));
            }
            self.batch_time = Some(Time(fields.required("now")?));
            self.addressee = None;
            fields.end()?;
            return Ok(false);
        };
        match fields.message() {
            "end" => {
                fields.end()?;
                self.batch_time = None;
                self.reply(now, reply);
                return Ok(true);
            }
            "to" => {
                self.addressee = Some(fields.required("who")?);
                fields.end()?;
            }
            "list" => {
                let number = fields.required("roster-id")?;
                let length: usize = fields.required("elements")?;
                fields.end()?;
                self.add_list(PartialList { number, length, endpoints: Vec::new() });
            }
            "start" => {
                let who = self.addressee.ok_or_else(|| no_instance_named(&fields))?;
                let aggregator = Aggregator::new(codec::start(&mut fields)?);
                self.instances.insert(who, Instance { aggregator, events: Vec::new(), touched: true });
            }
            "power_off" => {
                fields.end()?;
                let who = self.addressee.ok_or_else(|| no_instance_named(&fields))?;
                if self.instances.remove(&who).is_none() {
                    return Err(unknown_instance(&fields, who));
                }
            }
            _ => {
                let event = codec::event(&mut fields, |number| self.lists.get(&number).cloned())?;
                let who = self.addressee.ok_or_else(|| no_instance_named(&fields))?;
                let Some(instance) = self.instances.get_mut(&who) else {
                    return Err(unknown_instance(&fields, who));
                };
                instance.touched = true;
                instance.events.extend(event);
            }
        }
        Ok(false)
    }

    /// At the end of input: an error if a batch is cut off.
    pub fn finish(&self) -> Result<(), LineError> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err(LineError::UnfinishedBatch),
        }
    }

    fn add_list(&mut self, list: PartialList) {
        if list.endpoints.len() == list.length {
            self.lists.insert(list.number, list.endpoints.into());
        } else {
            self.partial_list = Some(list);
        }
    }

    fn reply(&mut self, now: Time, reply: &mut String) {
        let mut actions = Vec::new();
        for (who, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            actions.clear();
            instance.aggregator.step(now, instance.events.drain(..), &mut actions);
            if actions.is_empty() {
                continue;
            }
            let written = writeln!(reply, "from {who}");
            debug_assert!(written.is_ok(), "writing to a string cannot fail");
            for action in &actions {
                codec::action(action, reply);
            }
        }
        reply.push_str("done\n");
    }
}

fn no_instance_named(fields: &Fields<'_>) -> LineError {
    LineError::NoInstanceNamed { message: fields.message().to_owned() }
}

fn unknown_instance(fields: &Fields<'_>, instance: u32) -> LineError {
    LineError::UnknownInstance { message: fields.message().to_owned(), instance }
}
