//! Takes in the lines of logs, whatever they are.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{Line, LineError, Request};

/// How a gateway tells how many lines it left out.
const LEFT_OUT: &str = "log: lines left out count=";

/// What was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Lines of gateways.
    pub lines: u64,
    /// Lines that are not a gateway's.
    pub foreign: u64,
    /// Lines that end in the middle.
    pub cut: u64,
    /// Lines that the gateways left out, as they say themselves.
    pub left_out: u64,
    /// Requests of which the log does not tell that they were accepted.
    pub unknown_requests: u64,
}

/// Reads logs.
///
/// ```
/// use bulrushusher_losses::Reader;
/// let mut reader = Reader::default();
/// reader.read("gateway-1", b"[2026-04-26T01:23:28.244Z INFO ] front: accepted id=r1 route=gen\nnot ours");
/// let (requests, seen) = reader.finish();
/// assert_eq!((requests.len(), seen.lines, seen.foreign), (1, 1, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reader {
    requests: HashMap<(Arc<str>, Arc<str>), Request>,
    data_centres: HashMap<Arc<str>, Arc<str>>,
    /// When each gateway's process started last.
    last_starts: HashMap<Arc<str>, u64>,
    seen: Seen,
}

impl Reader {
    /// Takes in the bytes of one log; `source` names the gateway where its lines do not.
    pub fn read(&mut self, source: &str, bytes: &[u8]) {
        for line in bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let text = String::from_utf8_lossy(line);
            if let Some(count) = text.strip_prefix(LEFT_OUT) {
                self.seen.left_out += count.trim().parse().unwrap_or(1);
                continue;
            }
            match Line::read(&text) {
                Ok(line) => self.take_in(source, &line),
                Err(LineError::Foreign) => self.seen.foreign += 1,
                Err(LineError::Cut) => self.seen.cut += 1,
            }
        }
    }

    fn take_in(&mut self, source: &str, line: &Line<'_>) {
        self.seen.lines += 1;
        let gateway: Arc<str> = line.source.unwrap_or(source).into();
        if let ("gateway: start", Some(centre)) = (line.what, line.text("data_centre")) {
            self.data_centres.insert(gateway.clone(), centre.into());
            let last = self.last_starts.entry(gateway).or_default();
            *last = line.at_ms.max(*last);
            return;
        }
        let Some(id) = line.text("id").filter(|_| is_of_a_request(line.what)) else { return };
        // A request that comes again has another identity; one identity may meet two gateways.
        let request = self.requests.entry((gateway.clone(), id.into())).or_default();
        request.gateway = gateway;
        request.take_in(line);
    }

    /// The requests of which it is told that they were accepted, and what was read.
    pub fn finish(mut self) -> (Vec<Request>, Seen) {
        let all = self.requests.len();
        let mut requests: Vec<Request> =
            self.requests.into_values().filter(Request::is_accepted).collect();
        self.seen.unknown_requests = (all - requests.len()) as u64;
        for request in &mut requests {
            let centre = self.data_centres.get(&request.gateway).cloned();
            request.data_centre = centre.unwrap_or_else(|| "unknown".into());
            let started = self.last_starts.get(&request.gateway).copied().unwrap_or(0);
            request.gateway_started_again = started > request.at_ms;
        }
        requests.sort_by_key(|request| request.at_ms);
        (requests, self.seen)
    }
}

fn is_of_a_request(what: &str) -> bool {
    ["front: ", "place: ", "route: ", "stream: "].iter().any(|part| what.starts_with(part))
}
