//! Keeps the records of a process: its start, a line of figures each second, what changes, its stop.

use super::operator::Records;
use crate::limits::DescriptorClass;
use crate::records::folder::Recorder;
use crate::records::overload::OverloadDetector;
use crate::records::record::RecordBody;
use crate::routing::Broker;
use crate::transport::connection_manager::ConnectionManager;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time between two lines of figures.
const EACH: Duration = Duration::from_secs(1);

/// The records of one process; none are kept where no folder is set.
#[derive(Clone, Default)]
pub struct Recording(Rc<RefCell<Option<Recorder>>>);

impl Recording {
    /// Begins to keep records, if a folder is set; `start` names this start of this gatherer, and no other.
    pub fn begin(
        records: Option<&Records>,
        gatherer: &str,
        start: &str,
        configuration: &str,
        broker: &Broker,
    ) -> io::Result<Recording> {
        let Some(records) = records else { return Ok(Recording::default()) };
        let recorder = Recorder::start(&records.folder, gatherer, start, records.bounds())?;
        let recording = Recording(Rc::new(RefCell::new(Some(recorder))));
        let (classes, tenants) = broker.with_core(|core| {
            core.metrics = Some(Default::default());
            (core.contracts().classes.clone(), core.contracts().tenants.clone())
        });
        let configuration = format!("{:016x}", xxh3_64(configuration.as_bytes()));
        recording.record(RecordBody::Start { configuration, classes, tenants });
        Ok(recording)
    }

    /// Records this.
    pub fn record(&self, body: RecordBody) {
        if let Some(recorder) = &mut *self.0.borrow_mut() {
            recorder.record(body);
        }
    }

    /// Records figures each second, for as long as the process lives.
    pub async fn keep(self, broker: Broker, gate: Rc<ConnectionManager>) {
        if self.0.borrow().is_none() {
            return;
        }
        let mut overload = OverloadDetector::default();
        loop {
            tokio::time::sleep(EACH).await;
            self.take(&broker, &gate, Some(&mut overload));
        }
    }

    /// Records what has happened since the last time.
    fn take(&self, broker: &Broker, gate: &ConnectionManager, overload: Option<&mut OverloadDetector>) {
        let taken = broker.with_core(|core| {
            let second = core.metrics.as_mut().map(|figures| figures.take_snapshot())?;
            Some((std::mem::take(&mut core.record_events), second, core.open_queries()))
        });
        let Some((news, mut second, open)) = taken else { return };
        news.into_iter().for_each(|body| self.record(body));
        second.open = open;
        (second.descriptors, second.clients) = gate
            .descriptor_pool()
            .descriptors(|all| (all.budget().usable - all.free(), all.held(DescriptorClass::Clients)));
        second.buffered = gate.descriptor_pool().buffered_bytes();
        if let Some(begins) = overload.and_then(|overload| overload.observe(&second)) {
            self.record(RecordBody::Overload { begins });
        }
        self.record(RecordBody::Metrics(second));
    }

    /// Records the rest, and the stop. `answered` is whether all that was taken has been.
    pub fn end(self, broker: &Broker, gate: &ConnectionManager, answered: bool) {
        // What is left of a second is too short to tell a period by.
        self.take(broker, gate, None);
        // Guards against a stop that hides what the process took down: without the line, the rest shows as unknown.
        if answered {
            self.record(RecordBody::Stop);
        }
        let recorder = self.0.borrow_mut().take();
        if let Some(recorder) = recorder {
            recorder.close();
        }
    }
}
