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
    runs_step: bool,
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
    pub fn read_line(&mut self, line: &str, reply: &mut String) -> Result<bool, LineError> {
        if let Some(mut list) = self.partial_list.take() {
            list.endpoints.push(codec::read_endpoint(line)?);
            self.add_list(list);
            return Ok(false);
        }
        let mut fields = Fields::new(line);
        let Some(now) = self.batch_time else {
            self.begin_batch(&mut fields)?;
            return Ok(false);
        };
        match fields.message() {
            "end" => {
                fields.end()?;
                self.batch_time = None;
                self.write_reply(now, reply);
                return Ok(true);
            }
            "to" => {
                self.addressee = Some(fields.required("who")?);
                fields.end()?;
            }
            "list" => self.begin_list(&mut fields)?,
            "start" => self.start_instance(&mut fields)?,
            "power_off" => self.stop_instance(&mut fields)?,
            _ => self.add_event(&mut fields)?,
        }
        Ok(false)
    }

    /// Reads the line outside of batches, which has to begin one.
    fn begin_batch(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        if fields.message() != "turn" {
            return Err(LineError::OutsideBatch(fields.message().to_owned()));
        }
        self.batch_time = Some(Time(fields.required("now")?));
        self.addressee = None;
        fields.end()?;
        Ok(())
    }

    /// Reads the head of an endpoint list; its entries are the next lines.
    fn begin_list(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let number = fields.required("roster-id")?;
        let length: usize = fields.required("elements")?;
        fields.end()?;
        self.add_list(PartialList { number, length, endpoints: Vec::new() });
        Ok(())
    }

    /// Starts the addressed instance, or starts it anew.
    fn start_instance(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let instance = self.addressee(fields)?;
        let aggregator = Aggregator::new(codec::read_settings(fields)?);
        self.instances.insert(instance, Instance { aggregator, events: Vec::new(), runs_step: true });
        Ok(())
    }

    /// Ends the addressed instance; it takes no step in this batch.
    fn stop_instance(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        fields.end()?;
        let instance = self.addressee(fields)?;
        match self.instances.remove(&instance) {
            Some(_) => Ok(()),
            None => Err(unknown_instance(fields, instance)),
        }
    }

    /// Reads an event, which the addressed instance gets at the end of the batch.
    fn add_event(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let event = codec::read_event(fields, |number| self.lists.get(&number).cloned())?;
        let addressee = self.addressee(fields)?;
        let Some(instance) = self.instances.get_mut(&addressee) else {
            return Err(unknown_instance(fields, addressee));
        };
        instance.runs_step = true;
        instance.events.extend(event);
        Ok(())
    }

    /// The instance that the batch has named last.
    fn addressee(&self, fields: &Fields<'_>) -> Result<u32, LineError> {
        self.addressee.ok_or_else(|| LineError::NoInstanceNamed { message: fields.message().to_owned() })
    }

    /// At the end of input: an error if a batch is cut off.
    pub fn finish(&self) -> Result<(), LineError> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err(LineError::UnfinishedBatch),
        }
    }

    /// Keeps a list that is complete; waits for the next entry of one that is not.
    fn add_list(&mut self, list: PartialList) {
        if list.endpoints.len() == list.length {
            self.lists.insert(list.number, list.endpoints.into());
        } else {
            self.partial_list = Some(list);
        }
    }

    /// Runs a step of each instance that the batch has named, and writes their actions.
    fn write_reply(&mut self, now: Time, reply: &mut String) {
        let mut actions = Vec::new();
        for (number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.runs_step) {
                continue;
            }
            actions.clear();
            instance.aggregator.step(now, instance.events.drain(..), &mut actions);
            if actions.is_empty() {
                continue;
            }
            let written = writeln!(reply, "from {number}");
            debug_assert!(written.is_ok(), "writing to a string cannot fail");
            for action in &actions {
                codec::write_action(action, reply);
            }
        }
        reply.push_str("done\n");
    }
}

fn unknown_instance(fields: &Fields<'_>, instance: u32) -> LineError {
    LineError::UnknownInstance { message: fields.message().to_owned(), instance }
}
