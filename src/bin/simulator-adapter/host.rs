//! Owns the instances of the decision module: sorts the events of a batch by instance, runs one step of each
//! instance that the batch starts or has a message for, and writes the reply. The form of the lines is
//! [`codec`]'s.

use crate::codec;
use crate::error::LineError;
use crate::fields::Fields;
use gatherer::Aggregator;
use gatherer::policy::{Endpoint, Event, Time};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// An instance of the decision module, with its events of the current batch.
struct Instance {
    aggregator: Aggregator,
    events: Vec<Event>,
    /// The current batch starts this instance or has a message for it, so it runs a step at the batch's end,
    /// even without events.
    runs_step: bool,
}

/// An endpoint list whose entries have not all been read.
struct PartialList {
    number: usize,
    length: usize,
    endpoints: Vec<Endpoint>,
}

/// All instances of the process. They share the numbered endpoint lists and nothing else.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<usize, Arc<[Endpoint]>>,
    /// Time of the batch that is being read; `None` between batches.
    batch_time: Option<Time>,
    /// Instance that the next messages are for, as the last `to` line of the batch named it.
    addressee: Option<u32>,
    /// Endpoint list whose entries the next lines are.
    partial_list: Option<PartialList>,
}

impl Host {
    /// Reads one line. Returns true when it completes a batch, whose reply is then in `reply`.
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

    /// Reads a line between batches, which must be a `turn` line.
    fn begin_batch(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        if fields.message() != "turn" {
            return Err(LineError::OutsideBatch(fields.message().to_owned()));
        }
        self.batch_time = Some(Time(fields.required("now")?));
        self.addressee = None;
        fields.end()?;
        Ok(())
    }

    /// Reads the first line of an endpoint list; the next lines are its entries.
    fn begin_list(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let number = fields.required("roster-id")?;
        let length: usize = fields.required("elements")?;
        fields.end()?;
        self.add_list(PartialList { number, length, endpoints: Vec::new() });
        Ok(())
    }

    /// Starts the addressed instance; one that already runs is replaced.
    fn start_instance(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let instance = self.addressee(fields)?;
        let aggregator = Aggregator::new(codec::read_settings(fields)?);
        self.instances.insert(instance, Instance { aggregator, events: Vec::new(), runs_step: true });
        Ok(())
    }

    /// Ends the addressed instance without a step in this batch.
    fn stop_instance(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        fields.end()?;
        let instance = self.addressee(fields)?;
        match self.instances.remove(&instance) {
            Some(_) => Ok(()),
            None => Err(unknown_instance(fields, instance)),
        }
    }

    /// Reads a message to the addressed instance, which handles it at the end of the batch.
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

    /// The instance that the last `to` line of the batch named.
    fn addressee(&self, fields: &Fields<'_>) -> Result<u32, LineError> {
        self.addressee.ok_or_else(|| LineError::NoInstanceNamed { message: fields.message().to_owned() })
    }

    /// Checks at the end of input that no batch is incomplete.
    pub fn finish(&self) -> Result<(), LineError> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err(LineError::UnfinishedBatch),
        }
    }

    /// Stores an endpoint list that is complete; otherwise the next line is read as its next entry.
    fn add_list(&mut self, list: PartialList) {
        if list.endpoints.len() == list.length {
            self.lists.insert(list.number, list.endpoints.into());
        } else {
            self.partial_list = Some(list);
        }
    }

    /// Runs a step of each instance that the batch started or had a message for, and writes their actions.
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
