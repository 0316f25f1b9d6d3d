//! Start and end of the process.

use super::config::Config;
use super::platform::Platform;
use crate::routing::{Broker, Clock, Core};
use crate::transport::listener::{self, Gate, Phase};
use crate::transport::stream::{Dial, Tcp};
use crate::transport::watch;
use crate::transport::workers::Workers;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// After SIGTERM, the time in which clients still connect and are told to go elsewhere.
const LINGER: Duration = Duration::from_millis(800);
/// How often the end looks whether all is answered.
const LOOK: Duration = Duration::from_millis(10);
/// Time past the longest deadline after which the end no longer waits for a client to read its answer.
const SLACK: Duration = Duration::from_millis(300);

/// Serves the platform until SIGTERM.
pub fn platform(config: Config) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(config.listen).await?;
        let at = listener.local_addr()?;
        let longest = config.contracts.settings.classes.iter().map(|class| class.deadline).max();
        let broker = Broker::new(Core::new(config.contracts), Clock::system());
        if let Some(known) = &config.known {
            broker.learn(known, true);
        }
        let dial: Rc<dyn Dial> = Rc::new(Tcp);
        let workers = Workers::new(broker.clone(), dial.clone(), config.sockets / 4);
        let gate = Gate::new(config.sockets / 2);
        let front = Rc::new(Platform { broker: broker.clone(), gate: gate.clone() });
        let driver = broker.clone();
        spawn_local(async move { driver.drive(&workers).await });
        let watcher = broker.clone();
        spawn_local(async move { watch::follow(&*dial, &config.discovery, &watcher).await });
        spawn_local(listener::accept(listener, front, gate.clone()));
        log::info!("{} serving on {at}", config.name);
        stopped().await?;
        wind_up(&gate, longest.unwrap_or_default()).await;
        broker.core(|core| log::info!("counters: {}", core.counters));
        Ok(())
    })
}

/// Returns on SIGTERM or SIGINT.
async fn stopped() -> io::Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Takes nothing new, and returns once all that was taken is answered.
async fn wind_up(gate: &Gate, longest: Duration) {
    log::info!("stopping: {} connections are open", gate.open());
    gate.enter(Phase::Stopping);
    tokio::time::sleep(LINGER).await;
    gate.enter(Phase::Closing);
    let all_answered = async {
        while gate.open() > 0 {
            tokio::time::sleep(LOOK).await;
        }
    };
    if tokio::time::timeout(longest + SLACK, all_answered).await.is_err() {
        log::warn!("stopped with {} connections open", gate.open());
    }
}
