//! Reload at SIGHUP: reads the configuration again, and logs and records the result. What a reload changes is decided by the
//! caller's `reload`.

use super::errors::ConfigError;
use super::recording::Recording;
use super::signals::ReloadSignal;
use crate::limits::DescriptorClass;
use crate::records::record::RecordBody;
use crate::transport::descriptor_pool::DescriptorPool;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long after SIGHUP an invalid configuration file may be one that is still being written.
const RELOAD_RETRY_WINDOW: Duration = Duration::from_secs(2);
/// How often such a file is read again.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reloads the configuration at each SIGHUP and logs what changed; nothing in flight is affected. An invalid file changes
/// nothing. A file that cannot be read now, or may still be being written, is read again until that succeeds or SIGHUP is
/// received once more: the previous discovery address may no longer answer.
pub async fn reload_on_signal(
    reload_signal: ReloadSignal,
    descriptor_pool: Rc<DescriptorPool>,
    recording: Recording,
    mut reload: impl FnMut() -> Result<String, ConfigError>,
) {
    loop {
        reload_signal.received().await;
        while let Err(error) = reload_once(&descriptor_pool, &recording, &mut reload).await {
            tokio::select! {
                biased;
                () = reload_signal.received() => {
                    log::info!("configuration: retries ended, another SIGHUP was received");
                }
                () = retry_reload(error, &descriptor_pool, &recording, &mut reload) => break,
            }
        }
    }
}

/// Reads the configuration; logs and records what changed, and returns the error if it cannot be used.
async fn reload_and_record(
    descriptor_pool: &Rc<DescriptorPool>,
    recording: &Recording,
    reload: &mut impl FnMut() -> Result<String, ConfigError>,
) -> Result<(), ConfigError> {
    let _permit = descriptor_pool.acquire(DescriptorClass::Files).await;
    let change = reload()?;
    log::info!("configuration read again: {change}");
    recording.record(RecordBody::Reload { applied: true, detail: change });
    Ok(())
}

/// The first read after SIGHUP: logs and records an error too.
async fn reload_once(
    descriptor_pool: &Rc<DescriptorPool>,
    recording: &Recording,
    reload: &mut impl FnMut() -> Result<String, ConfigError>,
) -> Result<(), ConfigError> {
    let result = reload_and_record(descriptor_pool, recording, reload).await;
    if let Err(error) = &result {
        log::error!("configuration not read again, the previous one stays in effect: {error}");
        recording.record(RecordBody::Reload { applied: false, detail: error.to_string() });
    }
    result
}

/// Reads again and again, while the error is transient or the file may still be being written. These errors are not logged:
/// the first one was.
async fn retry_reload(
    mut error: ConfigError,
    descriptor_pool: &Rc<DescriptorPool>,
    recording: &Recording,
    reload: &mut impl FnMut() -> Result<String, ConfigError>,
) {
    let started_at = Instant::now();
    while error.is_transient() || started_at.elapsed() < RELOAD_RETRY_WINDOW {
        tokio::time::sleep(RELOAD_RETRY_INTERVAL).await;
        match reload_and_record(descriptor_pool, recording, reload).await {
            Ok(()) => return,
            Err(latest) => error = latest,
        }
    }
}
