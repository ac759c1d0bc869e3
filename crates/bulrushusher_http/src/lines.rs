//! Reader of response bodies made of lines, optionally with raw bytes in between.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::HttpError;
use crate::client::MAX_BODY_BYTES;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// A stream of lines. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct LineStream {
    peer: SocketAddr,
    body: Incoming,
    buf: BytesMut,
    idle_timeout: Duration,
}

impl LineStream {
    pub(crate) fn new(peer: SocketAddr, body: Incoming, idle_timeout: Duration) -> LineStream {
        LineStream { peer, body, buf: BytesMut::new(), idle_timeout }
    }

    /// Replaces the timeout of each read.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> LineStream {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Reads the next line, without its newline; `None` at the end of the body.
    ///
    /// # Errors
    /// [`HttpError::Timeout`] when nothing is received for the idle timeout,
    /// [`HttpError::ConnectionLost`] when the connection is lost, [`HttpError::Codec`] when a line
    /// is longer than 1 MiB.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1).freeze();
                return Ok(Some(line.slice(..end)));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(self.codec_error("a line is longer than 1 MiB"));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the next line and decodes it as JSON; `None` at the end of the body.
    ///
    /// # Errors
    /// As [`LineStream::next_line`]; [`HttpError::Codec`] when a line cannot be decoded.
    pub async fn next_message<R: DeserializeOwned>(&mut self) -> Result<Option<R>, HttpError> {
        let Some(line) = self.next_line().await? else { return Ok(None) };
        serde_json::from_slice(&line).map(Some).map_err(|e| self.codec_error(&e.to_string()))
    }

    /// Reads exactly `len` raw bytes.
    ///
    /// # Errors
    /// As [`LineStream::next_line`]; [`HttpError::ConnectionLost`] when the body ends early,
    /// [`HttpError::Codec`] when it is larger than 16 MiB.
    pub async fn read_bytes(&mut self, len: usize) -> Result<Bytes, HttpError> {
        if len > MAX_BODY_BYTES {
            return Err(self.codec_error("a body is larger than 16 MiB"));
        }
        while self.buf.len() < len {
            if !self.fill().await? {
                let cause = "the body ended early".to_owned();
                return Err(HttpError::ConnectionLost { peer: self.peer.to_string(), cause });
            }
        }
        Ok(self.buf.split_to(len).freeze())
    }

    /// Receives the next chunk of the body into the buffer; false at the end of the body.
    async fn fill(&mut self) -> Result<bool, HttpError> {
        let frame = tokio::time::timeout(self.idle_timeout, self.body.frame()).await;
        let frame = frame.map_err(|_| HttpError::Timeout {
            peer: self.peer.to_string(),
            timeout: self.idle_timeout,
        })?;
        match frame {
            None => Ok(false),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buf.extend_from_slice(data);
                }
                Ok(true)
            }
            Some(Err(e)) => {
                Err(HttpError::ConnectionLost { peer: self.peer.to_string(), cause: e.to_string() })
            }
        }
    }

    fn codec_error(&self, cause: &str) -> HttpError {
        HttpError::Codec { peer: self.peer.to_string(), cause: cause.to_owned() }
    }
}
