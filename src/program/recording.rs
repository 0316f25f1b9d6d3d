//! The records of one process: its start, its metrics each second, changes, and its stop. It decides when to write; the
//! writer in `records` owns the files.

use super::errors::with_context;
use super::operator::RecordSettings;
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

/// Time between two records of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// The records of one process; nothing is written where no folder is configured.
#[derive(Clone, Default)]
pub struct Recording(Rc<RefCell<Option<Recorder>>>);

impl Recording {
    /// Starts recording, if a folder is configured. `incarnation` identifies this start of this gatherer, and no other.
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

    /// Writes one record.
    pub fn record(&self, body: RecordBody) {
        if let Some(recorder) = &mut *self.0.borrow_mut() {
            recorder.record(body);
        }
    }

    /// Writes metrics each second; ends only with its task, or at once where nothing is recorded.
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

    /// Writes what has happened since the last call.
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
        if let Some(begins) = overload.and_then(|overload| overload.observe(&metrics)) {
            self.record(RecordBody::Overload { begins });
        }
        self.record(RecordBody::Metrics(metrics));
    }

    /// Writes the rest and the stop, and closes the files. `all_answered` says whether every accepted query had its
    /// response.
    pub fn finish(self, broker: &Broker, connections: &ConnectionManager, all_answered: bool) {
        // The rest of a second is too short for the detection of overload.
        self.record_metrics(broker, connections, None);
        // Without the stop record the unanswered queries are reported as unknown instead of being hidden.
        if all_answered {
            self.record(RecordBody::Stop);
        }
        let recorder = self.0.borrow_mut().take();
        if let Some(recorder) = recorder {
            recorder.close();
        }
    }
}
