//! The messages between the two processes of an upgrade after the takeover: queues and sends them, and applies received
//! ones. Their form is in [`crate::protocol::handover`].

use super::Upgrade;
use crate::protocol::handover::Message;
use crate::service::LifecycleState;
use crate::service::lifecycle::LifecycleRequest;
use crate::transport::takeover::{TakeoverChannel, TakeoverChannelError};
use std::io;
use tokio::sync::mpsc::{self, error::TrySendError};

/// Number of messages that may wait to be sent to the other process. Only operators' calls and changes of the lifecycle
/// cause messages, so few wait.
const MAX_PENDING_MESSAGES: usize = 256;

impl Upgrade {
    /// Opens the queue of messages to the other process, in place of an earlier one.
    pub(super) fn open_message_queue(&self) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_MESSAGES);
        self.peer.replace(Some(sender));
        receiver
    }

    /// Sends queued messages and applies received ones until the connection fails or ends, and returns the error.
    pub(super) async fn exchange_messages(
        &self,
        mut channel: TakeoverChannel,
        mut messages: mpsc::Receiver<Message>,
    ) -> TakeoverChannelError {
        loop {
            let message = tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => match channel.send(&message).await {
                        Ok(()) => continue,
                        Err(error) => return error,
                    },
                    None => return io::Error::from(io::ErrorKind::NotConnected).into(),
                },
                message = channel.receive() => match message {
                    Ok(message) => message,
                    Err(error) => return error,
                },
            };
            self.on_message(message);
        }
    }

    /// Queues a message to the other process; does nothing if there is none.
    pub(super) fn send_to_peer(&self, message: Message) -> Result<(), TrySendError<Message>> {
        self.peer.borrow().as_ref().map_or(Ok(()), |peer| peer.try_send(message))
    }

    /// Applies a lifecycle request of the other process. A stopping process rejects requests to drain and to resume.
    /// The rejection is no error, since the other process continues the gatherer and has applied them itself.
    pub(super) fn apply_peer_request(&self, request: LifecycleRequest) {
        if let Err(error) = self.connections.apply_lifecycle(request) {
            log::debug!(
                "upgrade: lifecycle request {request:?} of the other process was not applied: {error}"
            );
        }
    }

    fn on_message(&self, message: Message) {
        match message {
            Message::WorkerDisabled { worker } => self.broker.set_worker_disabled_by_peer(&worker, true),
            Message::WorkerEnabled { worker } => self.broker.set_worker_disabled_by_peer(&worker, false),
            Message::Serving => {
                log::info!("upgrade: the successor serves");
                self.takeover.borrow_mut().on_successor_serving();
                if self.connections.lifecycle_state() == LifecycleState::Stopping {
                    self.apply_peer_request(LifecycleRequest::HandOver);
                }
            }
            Message::Drain => self.apply_peer_request(LifecycleRequest::Drain),
            Message::Resume => self.apply_peer_request(LifecycleRequest::Resume),
            Message::Stopping => {
                self.takeover.borrow_mut().on_peer_stopping();
                self.serve_now.notify_one();
            }
            Message::TakeoverRequest { .. } | Message::TakeoverInProgress | Message::TakeoverState(_) => {
                log::warn!("upgrade: unexpected message of the other process dropped: {message:?}");
            }
        }
    }
}
