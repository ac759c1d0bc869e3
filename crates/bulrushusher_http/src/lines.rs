//! A response body read as lines, with raw bytes between them where a line announces some.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::HttpError;

/// The longest line, in bytes.
const MAX_LINE: usize = 1 << 20;

/// A stream of lines. Dropping it closes the connection.
#[derive(Debug)]
pub struct LineStream {
    peer: SocketAddr,
    body: Incoming,
    buf: BytesMut,
    idle: Duration,
}

impl LineStream {
    pub(crate) fn new(peer: SocketAddr, body: Incoming, idle: Duration) -> LineStream {
        LineStream { peer, body, buf: BytesMut::new(), idle }
    }

    /// The same stream with another bound on silence.
    #[must_use]
    pub fn with_idle(mut self, idle: Duration) -> LineStream {
        self.idle = idle;
        self
    }

    /// The next line without its end; `None` at the end of the body.
    ///
    /// # Errors
    /// [`HttpError::Silent`] when nothing comes for the idle bound, [`HttpError::Broken`] when the
    /// connection breaks, [`HttpError::Codec`] when a line is longer than 1 MiB.
    pub async fn line(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1).freeze();
                return Ok(Some(line.slice(..end)));
            }
            if self.buf.len() > MAX_LINE {
                return Err(self.codec("a line is longer than 1 MiB"));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// The next line as a JSON message; `None` at the end of the body.
    ///
    /// # Errors
    /// As [`LineStream::line`].
    pub async fn message<R: DeserializeOwned>(&mut self) -> Result<Option<R>, HttpError> {
        let Some(line) = self.line().await? else { return Ok(None) };
        serde_json::from_slice(&line).map(Some).map_err(|e| self.codec(&e.to_string()))
    }

    /// Exactly `len` raw bytes.
    ///
    /// # Errors
    /// As [`LineStream::line`]; [`HttpError::Broken`] when the body ends before.
    pub async fn raw(&mut self, len: usize) -> Result<Bytes, HttpError> {
        while self.buf.len() < len {
            if !self.fill().await? {
                let cause = "the body ended early".to_owned();
                return Err(HttpError::Broken { peer: self.peer.to_string(), cause });
            }
        }
        Ok(self.buf.split_to(len).freeze())
    }

    async fn fill(&mut self) -> Result<bool, HttpError> {
        let frame = tokio::time::timeout(self.idle, self.body.frame()).await;
        let frame = frame
            .map_err(|_| HttpError::Silent { peer: self.peer.to_string(), after: self.idle })?;
        match frame {
            None => Ok(false),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buf.extend_from_slice(data);
                }
                Ok(true)
            }
            Some(Err(e)) => {
                Err(HttpError::Broken { peer: self.peer.to_string(), cause: e.to_string() })
            }
        }
    }

    fn codec(&self, cause: &str) -> HttpError {
        HttpError::Codec { peer: self.peer.to_string(), cause: cause.to_owned() }
    }
}
