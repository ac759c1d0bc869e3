//! Parses logs and assembles the requests from their lines.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{LineError, LogLine, Request};

/// Prefix of the line in which a gateway reports how many lines its log rate limit dropped.
const DROPPED_PREFIX: &str = "log: lines left out count=";

/// Counts of the lines that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadStats {
    /// Lines of gateways that were parsed.
    pub lines: u64,
    /// Lines not written by a gateway.
    pub foreign: u64,
    /// Truncated lines.
    pub truncated: u64,
    /// Lines that gateways report as dropped.
    pub dropped: u64,
    /// Requests whose `front: accepted` line is missing.
    pub unknown_requests: u64,
}

/// Reads gateway logs.
///
/// ```
/// use bulrushusher_losses::LogReader;
/// let mut reader = LogReader::default();
/// reader.read("gateway-1", b"[2026-04-26T01:23:28.244Z INFO ] front: accepted id=r1 route=gen\nnot ours");
/// let (requests, stats) = reader.finish();
/// assert_eq!((requests.len(), stats.lines, stats.foreign), (1, 1, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    /// Requests by gateway and request id.
    requests: HashMap<(Arc<str>, Arc<str>), Request>,
    /// Data centre of each gateway.
    data_centres: HashMap<Arc<str>, Arc<str>>,
    /// Time of the last process start of each gateway, in Unix ms.
    last_starts: HashMap<Arc<str>, u64>,
    stats: ReadStats,
}

impl LogReader {
    /// Reads one log. `source` is the gateway's name for lines that do not contain one.
    pub fn read(&mut self, source: &str, bytes: &[u8]) {
        for line in bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let text = String::from_utf8_lossy(line);
            if let Some(count) = text.strip_prefix(DROPPED_PREFIX) {
                self.stats.dropped += count.trim().parse().unwrap_or(1);
                continue;
            }
            match LogLine::parse(&text) {
                Ok(line) => self.apply_line(source, &line),
                Err(LineError::Foreign) => self.stats.foreign += 1,
                Err(LineError::Truncated) => self.stats.truncated += 1,
            }
        }
    }

    fn apply_line(&mut self, source: &str, line: &LogLine<'_>) {
        self.stats.lines += 1;
        let gateway: Arc<str> = line.source.unwrap_or(source).into();
        if let ("gateway: start", Some(centre)) = (line.event, line.text("data_centre")) {
            self.data_centres.insert(gateway.clone(), centre.into());
            let last = self.last_starts.entry(gateway).or_default();
            *last = line.at_ms.max(*last);
            return;
        }
        let Some(id) = line.text("id").filter(|_| is_request_event(line.event)) else { return };
        // A caller's retry has a new id. The same id may occur at two gateways, so the gateway is
        // part of the key.
        let request = self.requests.entry((gateway.clone(), id.into())).or_default();
        request.gateway = gateway;
        request.apply_line(line);
    }

    /// Returns the accepted requests in order of arrival, and the counts of lines.
    pub fn finish(mut self) -> (Vec<Request>, ReadStats) {
        let all = self.requests.len();
        let mut requests: Vec<Request> =
            self.requests.into_values().filter(Request::is_accepted).collect();
        self.stats.unknown_requests = (all - requests.len()) as u64;
        for request in &mut requests {
            let centre = self.data_centres.get(&request.gateway).cloned();
            request.data_centre = centre.unwrap_or_else(|| "unknown".into());
            let started = self.last_starts.get(&request.gateway).copied().unwrap_or(0);
            request.gateway_restarted = started > request.at_ms;
        }
        requests.sort_by_key(|request| request.at_ms);
        (requests, self.stats)
    }
}

fn is_request_event(event: &str) -> bool {
    ["front: ", "place: ", "route: ", "stream: "].iter().any(|prefix| event.starts_with(prefix))
}
