//! The predecessor's side of an upgrade: accepts starting processes at the takeover socket, admits one of them as the
//! successor, and sends it the listening socket and the state.

use super::Upgrade;
use super::{LOCAL_RETRY_INTERVAL, REPLY_TIMEOUT, RETRY_INTERVAL};
use crate::limits::DescriptorClass;
use crate::protocol::handover::{Message, TakeoverState};
use crate::service::LifecycleState;
use crate::transport::errors;
use crate::transport::takeover::TakeoverChannel;
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::UnixListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Number of connections from which takeover requests are received at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 2;

impl Upgrade {
    /// Opens the takeover socket and spawns the task that accepts starting processes there. The socket is opened before
    /// this function returns: a process that starts right after this one is ready, or after the death of a successor
    /// that had replaced the socket, would otherwise listen beside this process without its state.
    pub(super) fn accept_successors(self: &Rc<Self>) {
        let (listener, upgrade) = (self.takeover_socket.listen(), self.clone());
        let task = spawn_local(async move { upgrade.wait_for_successors(listener).await });
        if let Some(previous) = self.accept_task.replace(Some(task.abort_handle())) {
            previous.abort();
        }
    }

    /// Retries to open the takeover socket until that succeeds, then accepts starting processes.
    async fn wait_for_successors(self: Rc<Self>, mut opened: io::Result<UnixListener>) {
        if let Err(error) = &opened {
            log::warn!("upgrade: cannot open the takeover socket, retrying: {error}");
        }
        let listener = loop {
            match opened {
                Ok(listener) => break listener,
                Err(_) => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    opened = self.takeover_socket.listen();
                }
            }
        };
        self.accept_connections(listener).await;
    }

    /// Accepts starting processes, and hands over to the one that is admitted.
    async fn accept_connections(self: &Rc<Self>, listener: UnixListener) {
        let request_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::debug!(
                        "upgrade: cannot accept a connection at the takeover socket, retrying: {error}"
                    );
                    if errors::is_out_of_descriptors(&error) {
                        // The successor is waiting: an idle client's descriptor is reclaimed for its connection.
                        self.connections.descriptor_pool().reclaim(DescriptorClass::Clients);
                    }
                    tokio::time::sleep(LOCAL_RETRY_INTERVAL).await;
                    continue;
                }
            };
            let Some(channel) = TakeoverChannel::new(stream) else { continue };
            // Requests are received concurrently, so that a silent connection does not delay the successor.
            let Ok(permit) = request_permits.clone().acquire_owned().await else { return };
            let upgrade = self.clone();
            spawn_local(async move {
                let channel = upgrade.receive_request(channel).await;
                drop(permit);
                if let Some(channel) = channel {
                    upgrade.hand_over(channel).await;
                }
            });
        }
    }

    /// Receives the request of a starting process. Returns its connection if the process is admitted as the successor.
    async fn receive_request(&self, mut channel: TakeoverChannel) -> Option<TakeoverChannel> {
        let request = match timeout(REPLY_TIMEOUT, channel.receive()).await {
            Ok(Ok(Message::TakeoverRequest { listen })) if listen == self.listen.to_string() => Ok(()),
            Ok(Ok(other)) => {
                Err(format!("expected a takeover request for {}, received {other:?}", self.listen))
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err(format!("no takeover request within {REPLY_TIMEOUT:?}")),
        };
        if let Err(reason) = request {
            log::warn!("upgrade: connection at the takeover socket rejected: {reason}");
            return None;
        }
        if !self.connections.lifecycle_state().is_stopping()
            && self.takeover.borrow_mut().admit_successor().is_ok()
        {
            return Some(channel);
        }
        if !matches!(timeout(REPLY_TIMEOUT, channel.send(&Message::TakeoverInProgress)).await, Ok(Ok(()))) {
            // The other process also retries when its connection ends without a reply.
            log::debug!("upgrade: a starting process was not notified that it has to wait");
        }
        None
    }

    /// Sends the state to the successor and exchanges messages with it until its connection ends.
    async fn hand_over(self: Rc<Self>, mut channel: TakeoverChannel) {
        log::info!("upgrade: a successor has started");
        self.divide_resources().await;
        let messages = self.open_message_queue();
        let state = self.broker.with_core(|core| TakeoverState {
            list: core.endpoint_list(),
            disabled_workers: core.disabled_workers().clone(),
            drained: matches!(
                self.connections.lifecycle_state(),
                LifecycleState::Draining | LifecycleState::Drained
            ),
            policy_snapshot: core.policy_snapshot(),
        });
        let message = Message::TakeoverState(Box::new(state));
        let listener = self.listener.borrow().clone();
        let send_state = async {
            match &listener {
                Some(listener) => channel.send_with_socket(&message, listener.as_fd()).await,
                None => channel.send(&message).await,
            }
        };
        let error = match timeout(REPLY_TIMEOUT, send_state).await {
            Ok(Ok(())) => self.exchange_messages(channel, messages).await,
            Ok(Err(error)) => error,
            Err(_) => io::Error::from(io::ErrorKind::TimedOut).into(),
        };
        log::warn!("upgrade: the successor has ended, this process continues: {error}");
        self.takeover.borrow_mut().on_successor_exited();
        self.peer.take();
        // The takeover socket may belong to a process that listens beside this one, which then keeps it.
        let socket_exists = self.takeover_socket.owns_socket_file()
            || matches!(self.takeover_socket.connect().await, Ok(Some(_)));
        if !socket_exists && !self.connections.lifecycle_state().is_stopping() {
            self.accept_successors();
        }
        self.divide_resources().await;
    }
}
