//! Batches and instances: sorts a batch's events by instance, runs a turn of each, writes the reply.

use crate::codec::{self, Fields};
use gatherer::Aggregator;
use gatherer::policy::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

struct Instance {
    module: Aggregator,
    events: Vec<Event>,
    touched: bool,
}

/// All instances of the process; they share the numbered lists and nothing else.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<usize, Arc<[Endpoint]>>,
    clock: Option<Time>,
    to: Option<u32>,
    /// A list being read: its number, its length and what is in so far.
    filling: Option<(usize, usize, Vec<Endpoint>)>,
}

impl Host {
    /// Takes one line; true when a batch is complete and `reply` holds its reply.
    pub fn line(&mut self, line: &str, reply: &mut String) -> Result<bool, String> {
        if let Some((number, length, mut entries)) = self.filling.take() {
            entries.push(codec::entry(line)?);
            self.fill(number, length, entries);
            return Ok(false);
        }
        let mut fields = Fields::new(line);
        let Some(now) = self.clock else {
            if fields.message() != "turn" {
                return Err(format!("expected \"turn\", got {:?}", fields.message()));
            }
            self.clock = Some(Time(fields.must("now")?));
            self.to = None;
            fields.end()?;
            return Ok(false);
        };
        match fields.message() {
            "end" => {
                fields.end()?;
                self.clock = None;
                self.reply(now, reply);
                return Ok(true);
            }
            "to" => {
                self.to = Some(fields.must("who")?);
                fields.end()?;
            }
            "list" => {
                let number = fields.must("roster-id")?;
                let length: usize = fields.must("elements")?;
                fields.end()?;
                self.fill(number, length, Vec::new());
            }
            "start" => {
                let who = self.to.ok_or("start: no instance named")?;
                let module = Aggregator::new(codec::start(&mut fields)?);
                self.instances.insert(who, Instance { module, events: Vec::new(), touched: true });
            }
            "power_off" => {
                fields.end()?;
                let who = self.to.ok_or("power_off: no instance named")?;
                if self.instances.remove(&who).is_none() {
                    return Err(format!("power_off: who: instance {who} was never started"));
                }
            }
            _ => {
                let event = codec::event(&mut fields, |number| self.lists.get(&number).cloned())?;
                let who = self.to.ok_or_else(|| format!("{}: no instance named", fields.message()))?;
                let Some(instance) = self.instances.get_mut(&who) else {
                    return Err(fields.error("who", &format!("instance {who} was never started")));
                };
                instance.touched = true;
                instance.events.extend(event);
            }
        }
        Ok(false)
    }

    /// At the end of input: an error if a batch is cut off.
    pub fn finish(&self) -> Result<(), String> {
        match self.clock {
            None => Ok(()),
            Some(_) => Err("input ends inside a batch".to_owned()),
        }
    }

    fn fill(&mut self, number: usize, length: usize, entries: Vec<Endpoint>) {
        if entries.len() == length {
            self.lists.insert(number, entries.into());
        } else {
            self.filling = Some((number, length, entries));
        }
    }

    fn reply(&mut self, now: Time, reply: &mut String) {
        let mut actions = Vec::new();
        for (who, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            actions.clear();
            instance.module.step(now, instance.events.drain(..), &mut actions);
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
