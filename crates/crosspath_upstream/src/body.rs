//! Streaming body of an upstream's response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use tokio::time::{Instant, Sleep};

use crate::IdlePool;
use crate::connection::Connection;

/// Failure of a response body before its end.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke before the end of the body.
    #[snafu(display("connection to the upstream broke before the end of the response body"))]
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The deadline passed before the end of the body.
    #[snafu(display("deadline passed before the end of the upstream's response body"))]
    Timeout,
}

/// Response body. Its connection goes back to the idle pool only after the whole body has arrived.
#[derive(Debug)]
pub struct StreamingBody {
    body: Incoming,
    connection: Option<Connection>,
    idle: Arc<IdlePool>,
    deadline: Pin<Box<Sleep>>,
}

impl StreamingBody {
    pub(crate) fn new(
        body: Incoming,
        connection: Connection,
        idle: Arc<IdlePool>,
        deadline: Instant,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut streaming = Self { body, connection: Some(connection), idle, deadline };
        if streaming.body.is_end_stream() {
            streaming.release_connection();
        }
        streaming
    }

    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.idle.release(connection);
        }
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.release_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(source))) => {
                self.connection = None;
                Poll::Ready(Some(Err(BodyError::Broken { source })))
            }
            Poll::Ready(None) => {
                self.release_connection();
                Poll::Ready(None)
            }
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Ready(()) if self.connection.take().is_some() => {
                    Poll::Ready(Some(Err(BodyError::Timeout)))
                }
                _ => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
