//! Reload at SIGHUP: calls the caller's `reload`, which reads the configuration again and applies it, retries it where
//! the file may still be incomplete, and logs and records the result.

use super::errors::ConfigError;
use super::recording::Recording;
use super::signals::ReloadSignal;
use crate::limits::DescriptorClass;
use crate::records::record::RecordBody;
use crate::transport::descriptor_pool::DescriptorPool;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long after SIGHUP an invalid file is read again, since it may still be being written.
const RELOAD_RETRY_WINDOW: Duration = Duration::from_secs(2);
/// Interval between two retries of a reload.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reloads the configuration at each SIGHUP and logs the change. Queries in flight are not affected, and an invalid
/// file changes nothing. An invalid file is read again for [`RELOAD_RETRY_WINDOW`], since it may still be being
/// written. After a transient error, such as a lack of descriptors, the file is read again until that succeeds or the
/// next SIGHUP is received: the previous discovery address may no longer answer.
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

/// Calls `reload` once, and logs and records the change. Errors are only returned.
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

/// Makes the first attempt after a SIGHUP, whose error is logged and recorded too.
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

/// Retries the reload for as long as the error is transient, or the file may still be being written. Errors of retries
/// are not logged, since the error of the first attempt was.
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
