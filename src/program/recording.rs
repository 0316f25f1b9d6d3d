//! Decides which records a process writes and when: its start, its metrics each second, events, and its stop. The
//! writer in [`crate::records`] owns the files.

use super::errors::with_context;
use super::operator::RecordSettings;
use crate::limits::DescriptorClass;
use crate::records::folder::Recorder;
use crate::records::overload::{OverloadChange, OverloadDetector};
use crate::records::record::RecordBody;
use crate::routing::Broker;
use crate::transport::connection_manager::ConnectionManager;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Interval between two records of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// The recorder of one process, or nothing if no folder is configured: then every call does nothing.
#[derive(Clone, Default)]
pub struct Recording(Rc<RefCell<Option<Recorder>>>);

impl Recording {
    /// Starts the recorder if a folder is configured, and writes the start record with a digest of `configuration`.
    /// `incarnation` must be unique among the starts of this gatherer.
    ///
    /// # Errors
    /// The thread that writes records cannot be started.
    pub fn start(
        records: Option<&RecordSettings>,
        gatherer: &str,
        incarnation: &str,
        configuration: &str,
        broker: &Broker,
    ) -> io::Result<Recording> {
        let Some(records) = records else { return Ok(Recording::default()) };
        let recorder = Recorder::start(&records.folder, gatherer, incarnation, records.segment_limits())
            .map_err(with_context("cannot start the thread that writes records"))?;
        let recording = Recording(Rc::new(RefCell::new(Some(recorder))));
        let (classes, tenants) = broker.with_core(|core| {
            core.metrics = Some(Default::default());
            (core.contracts().classes.clone(), core.contracts().tenants.clone())
        });
        let configuration = format!("{:016x}", xxh3_64(configuration.as_bytes()));
        recording.record(RecordBody::Start { configuration, classes, tenants });
        Ok(recording)
    }

    /// Queues one record for the writer.
    pub fn record(&self, body: RecordBody) {
        if let Some(recorder) = &mut *self.0.borrow_mut() {
            recorder.record(body);
        }
    }

    /// Writes a record of metrics each second. Returns at once if nothing is recorded, else runs until its task is
    /// aborted.
    pub async fn record_periodically(self, broker: Broker, connections: Rc<ConnectionManager>) {
        if self.0.borrow().is_none() {
            return;
        }
        let mut overload = OverloadDetector::default();
        loop {
            tokio::time::sleep(METRICS_INTERVAL).await;
            self.record_metrics(&broker, &connections, Some(&mut overload));
        }
    }

    /// Writes the events and the metrics since the last call, and the begin or end of an overload where `overload` is
    /// given.
    fn record_metrics(
        &self,
        broker: &Broker,
        connections: &ConnectionManager,
        overload: Option<&mut OverloadDetector>,
    ) {
        let snapshot = broker.with_core(|core| {
            let metrics = core.metrics.as_mut().map(|metrics| metrics.take_snapshot())?;
            Some((std::mem::take(&mut core.record_events), metrics, core.open_queries()))
        });
        let Some((events, mut metrics, open_queries)) = snapshot else { return };
        events.into_iter().for_each(|body| self.record(body));
        metrics.open = open_queries;
        (metrics.descriptors, metrics.clients) = connections.descriptor_pool().descriptors(|allocator| {
            (allocator.budget().usable - allocator.free(), allocator.held(DescriptorClass::Clients))
        });
        metrics.buffered = connections.descriptor_pool().buffered_bytes();
        if let Some(change) = overload.and_then(|overload| overload.observe(&metrics)) {
            self.record(RecordBody::Overload { begins: change == OverloadChange::Started });
        }
        self.record(RecordBody::Metrics(metrics));
    }

    /// Writes the last events and metrics, and the stop record if every accepted query got its response
    /// (`all_answered`); then closes the recorder.
    pub fn finish(self, broker: &Broker, connections: &ConnectionManager, all_answered: bool) {
        // A partial interval is too short to detect an overload.
        self.record_metrics(broker, connections, None);
        // Without the stop record, the report counts the unanswered queries as unknown instead of hiding them.
        if all_answered {
            self.record(RecordBody::Stop);
        }
        let recorder = self.0.borrow_mut().take();
        if let Some(recorder) = recorder {
            recorder.close();
        }
    }
}
