//! The gateways of one process and the batches of messages for them.

use crate::error::{HostError, LineError};
use crate::fields::Fields;
use crate::input::{EndpointLists, backend_entry, event};
use crate::output::{write_action, write_end};
use doorcourse::{Action, Gateway, Millis};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// All gateways that one process hosts.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u64, Gateway>,
    lists: EndpointLists,
    /// The endpoint list whose entries are being read.
    open_list: Option<OpenList>,
    /// The time of the batch that is being read, in ms.
    batch_time: Option<Millis>,
    reply: String,
    actions: Vec<Action>,
}

/// An endpoint list whose entries are not all read.
#[derive(Clone, Copy)]
struct OpenList {
    number: u64,
    entries_left: usize,
}

impl Host {
    /// Reads batches until the input ends and replies to each.
    ///
    /// # Errors
    /// On the first line that cannot be read, when the input ends inside a batch, and when reading or writing fails.
    pub fn run(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
        let mut bytes = Vec::new();
        let mut number = 0;
        loop {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes)? == 0 {
                let is_inside_batch = self.batch_time.is_some();
                return if is_inside_batch { Err(HostError::UnexpectedEnd { number }) } else { Ok(()) };
            }
            number += 1;
            let invalid = |error| HostError::InvalidLine { number, error };
            let line = std::str::from_utf8(&bytes).map_err(|_| invalid(LineError::NotUtf8))?;
            let line = line.trim_end_matches(['\n', '\r']);
            let has_batch_ended = self.read_line(line).map_err(invalid)?;
            if has_batch_ended {
                write_end(&mut self.reply);
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
            }
        }
    }

    /// Reads one line. Returns whether it ended a batch.
    fn read_line(&mut self, line: &str) -> Result<bool, LineError> {
        if let Some(list) = self.open_list {
            self.read_entry(list, line)?;
            return Ok(false);
        }
        let mut fields = Fields::of(line);
        let message = fields.text("message")?;
        let Some(now) = self.batch_time else {
            if message != "BATCH" {
                return Err(LineError::ExpectedBatch(line.to_owned()));
            }
            self.batch_time = Some(fields.millis("clock")?);
            return Ok(false);
        };
        match message {
            "YOUR_TURN" => {
                self.batch_time = None;
                return Ok(true);
            }
            "TABLE" => self.begin_list(&mut fields)?,
            "START" => self.start_gateway(&mut fields)?,
            "EXIT" => self.stop_gateway(&mut fields)?,
            _ => self.handle_message(now, message, &mut fields)?,
        }
        Ok(false)
    }

    fn begin_list(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let number = fields.number("roster-id")?;
        let entries_left = fields.number("rows")?;
        self.lists.insert(number, Vec::new());
        self.open_list = (entries_left > 0).then_some(OpenList { number, entries_left });
        Ok(())
    }

    fn read_entry(&mut self, list: OpenList, line: &str) -> Result<(), LineError> {
        self.lists.entry(list.number).or_default().push(backend_entry(line)?);
        let entries_left = list.entries_left - 1;
        self.open_list = (entries_left > 0).then_some(OpenList { entries_left, ..list });
        Ok(())
    }

    fn start_gateway(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let instance = fields.number("i")?;
        let seed = fields.number("init-seed")?;
        let deployment = doorcourse_deployment::parse(&fields.rest()).map_err(LineError::Deployment)?;
        let gateway = Gateway::new(deployment.settings, seed).map_err(LineError::Settings)?;
        self.gateways.insert(instance, gateway);
        Ok(())
    }

    fn stop_gateway(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let instance = fields.number("i")?;
        self.gateways.remove(&instance).ok_or(LineError::UnknownGateway(instance))?;
        Ok(())
    }

    /// Hands an event to its gateway and writes the gateway's actions.
    fn handle_message(
        &mut self, now: Millis, message: &str, fields: &mut Fields<'_>,
    ) -> Result<(), LineError> {
        let instance = fields.number("i")?;
        let event = event(message, fields, &self.lists)?;
        let gateway = self.gateways.get_mut(&instance).ok_or(LineError::UnknownGateway(instance))?;
        gateway.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, instance, &action).map_err(LineError::Output)?;
        }
        Ok(())
    }
}
