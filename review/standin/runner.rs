//! A stand-in of a runner: of plain calls, or of one stage of a model's generations.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Request, chunk, response, serve};
use crate::record::Record;
use crate::store::json_member;

/// Tokens of one event.
pub const STRIDE: u64 = 10;

/// What one runner does beside what every runner does.
#[derive(Default)]
pub struct Behavior {
    /// Pause before each event.
    pub pause: Duration,
    /// Requests whose streams have neither a length nor chunks and end with their connection.
    pub unframed: Mutex<BTreeSet<String>>,
    /// The connection on which a run is stopped for its move goes silent before the answer.
    pub silent_at_stop: AtomicBool,
    /// Most holds and runs of this gateway at once, as others take the rest; 0 for no limit.
    pub places: AtomicUsize,
    /// It leaves: all its answers say so, and it goes on serving until its process ends.
    pub is_leaving: AtomicBool,
    /// Refused holds are marked as not run, like refused requests.
    pub marks_refusals: AtomicBool,
    /// The next refused hold is answered a second time, late: where the next answer on its connection is
    /// expected.
    pub repeats_refusal: AtomicBool,
}

/// The entry of a model's runner in the store.
pub fn entry_of(address: SocketAddr, stage: Option<&str>, state: &str) -> String {
    let stage = stage.map_or("null".to_owned(), |stage| format!("\"{stage}\""));
    format!(
        "{{\"service\":\"rationale-llm\",\"address\":\"{address}\",\"zone\":\"ba-petrzalka\",\
         \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":{stage},\
         \"seq\":1}}"
    )
}

#[derive(Default)]
struct State {
    last_name: usize,
    holds: BTreeSet<String>,
    running: BTreeMap<String, Arc<AtomicBool>>,
    /// Requests that were run, in order, without continuations of a run that moved here.
    executed: Vec<String>,
    /// Second answers that are due on a connection, by its number.
    second_answers: BTreeMap<usize, Vec<u8>>,
    stopped: Vec<String>,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    stage: Option<&'static str>,
    pub behavior: Arc<Behavior>,
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Runner {
    pub fn start(
        id: &str,
        stage: Option<&'static str>,
        behavior: Behavior,
        record: &Arc<Record>,
    ) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let runner = Runner {
            id: id.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            stage,
            behavior: Arc::new(behavior),
            state: Arc::default(),
            record: record.clone(),
        };
        let served = runner.clone();
        serve(listener, move |req, connection| served.handle(&req, connection));
        runner
    }

    /// The runner's entry in the store.
    pub fn entry(&self) -> String {
        entry_of(self.address, self.stage, "ready")
    }

    /// Requests that were run, in order.
    pub fn executed(&self) -> Vec<String> {
        self.state.lock().unwrap().executed.clone()
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    /// Requests whose runs were stopped to be moved.
    pub fn stopped(&self) -> Vec<String> {
        self.state.lock().unwrap().stopped.clone()
    }

    /// Sends a response with a length; false if the peer is gone.
    fn respond(
        &self,
        connection: &mut Connection,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> bool {
        let leaving = self.leaving_header();
        let all: Vec<(&str, &str)> = headers.iter().copied().chain(leaving).collect();
        connection.send(&response(status, &all, body))
    }

    fn leaving_header(&self) -> Option<(&'static str, &'static str)> {
        self.behavior.is_leaving.load(Ordering::Relaxed).then_some(("Server-Leaving", "1"))
    }

    fn log(&self, text: &str) {
        self.record.line(&format!("runner {}: {text}", self.id));
    }

    fn handle(&self, req: &Request, connection: &mut Connection) -> bool {
        let second = self.state.lock().unwrap().second_answers.remove(&connection.number);
        if let Some(bytes) = second {
            self.log(&format!(
                "connection {}: the second answer to the hold that was refused is sent, while {} {} {} waits",
                connection.number,
                req.method,
                req.path,
                req.header("bulrushusher-request-id"),
            ));
            if !connection.send(&bytes) {
                return false;
            }
        }
        let expected = req.header("bulrushusher-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let not_run = [("Bulrushusher-Not-Run", "1")];
            return self.respond(connection, 421, &not_run, b"");
        }
        let path = req.path.as_str();
        if let Some(hold) = path.strip_prefix("/hold-drop/") {
            self.state.lock().unwrap().holds.remove(hold);
            return self.respond(connection, 200, &[], b"{}");
        }
        if path.starts_with("/kv-handle/") {
            return self.respond(connection, 200, &[], b"{}");
        }
        match path {
            "/report" => self.respond(connection, 200, &[], self.report().as_bytes()),
            "/health" => {
                let id = [("Bulrushusher-Instance-Id", self.id.as_str())];
                self.respond(connection, 200, &id, b"")
            }
            "/order" => self.respond(connection, 202, &[], b"{}"),
            "/hold-take" => self.take_hold(connection),
            "/kv-move" => self.copy(req, connection),
            _ if req.header("bulrushusher-stage") == "prefill" => self.prefill(req, connection),
            _ if self.stage.is_some() => self.generate(req, connection),
            _ => self.answer(req, connection),
        }
    }

    fn report(&self) -> String {
        let stage = self.stage.map_or("null".to_owned(), |stage| format!("\"{stage}\""));
        let running = self.running();
        format!(
            "{{\"stage\":{stage},\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":0,\"num_waiting\":0,\"num_running\":{running},\"kv_used\":0,\
             \"kv_total\":97920,\"kv_handles\":0}}"
        )
    }

    fn take_hold(&self, connection: &mut Connection) -> bool {
        let mut state = self.state.lock().unwrap();
        let places = self.behavior.places.load(Ordering::Relaxed);
        if places > 0 && state.holds.len() + state.running.len() >= places {
            let mark = [("Bulrushusher-Not-Run", "1")];
            let is_marked = self.behavior.marks_refusals.load(Ordering::Relaxed);
            let refusal = response(503, if is_marked { &mark } else { &[] }, b"{}");
            if self.behavior.repeats_refusal.swap(false, Ordering::Relaxed) {
                state.second_answers.insert(connection.number, refusal.clone());
            }
            drop(state);
            self.log(&format!("connection {}: hold refused, 503", connection.number));
            return connection.send(&refusal);
        }
        state.last_name += 1;
        let name = format!("hold-{}", state.last_name);
        state.holds.insert(name.clone());
        drop(state);
        self.log(&format!("connection {}: hold granted as {name}", connection.number));
        self.respond(connection, 200, &[], format!("{{\"hold\":\"{name}\"}}").as_bytes())
    }

    fn prefill(&self, req: &Request, connection: &mut Connection) -> bool {
        thread::sleep(Duration::from_millis(20));
        let id = req.header("bulrushusher-request-id").to_owned();
        let body = format!("{{\"kv_handle\":\"kv-{id}\",\"tokens\":1000,\"version\":1}}");
        self.log(&format!("{id} prefilled"));
        self.respond(connection, 200, &[("Bulrushusher-Request-Id", &id)], body.as_bytes())
    }

    /// Copies a run to another runner; with `last`, the run stops first.
    fn copy(&self, req: &Request, connection: &mut Connection) -> bool {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let id = json_member(&text, "id").unwrap_or_default().trim_matches('"').to_owned();
        let is_last = json_member(&text, "last").is_some_and(|it| it == "true");
        let running = self.state.lock().unwrap().running.get(&id).cloned();
        let Some(stop) = running else {
            self.log(&format!("{id} is to be copied, but doesn't run: 404"));
            return self.respond(connection, 404, &[], b"{}");
        };
        if is_last {
            self.state.lock().unwrap().stopped.push(id.clone());
            stop.store(true, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(10));
        if is_last && self.behavior.silent_at_stop.load(Ordering::Relaxed) {
            self.log(&format!("{id} stopped and copied; this connection is silent from now on"));
            connection.stay_silent();
            return false;
        }
        self.log(&format!("{id} copied, last={is_last}: 200"));
        let body = format!("{{\"kv_handle\":\"copy-{id}\",\"created\":0}}");
        self.respond(connection, 200, &[], body.as_bytes())
    }

    fn generate(&self, req: &Request, connection: &mut Connection) -> bool {
        let id = req.header("bulrushusher-request-id").to_owned();
        let counts = req.header("bulrushusher-token-counts");
        let tokens = counts.split(',').nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(100);
        let last = tokens / STRIDE;
        let after: u64 = req.header("last-event-id").parse().unwrap_or(0);
        let stop = Arc::new(AtomicBool::new(false));
        let is_unframed = self.behavior.unframed.lock().unwrap().contains(&id);
        {
            let mut state = self.state.lock().unwrap();
            state.holds.remove(req.header("bulrushusher-kv-hold"));
            state.running.insert(id.clone(), stop.clone());
            if after == 0 {
                state.executed.push(id.clone());
            }
        }
        self.log(&format!(
            "connection {}: {id} runs, events {} to {last}{}{}",
            connection.number,
            after + 1,
            if is_unframed { ", unframed" } else { "" },
            match req.header("bulrushusher-kv-source") {
                "" => String::new(),
                from => format!(", memory from {from}"),
            },
        ));
        let sent = self.send_events(&id, (after, last), is_unframed, &stop, connection);
        self.state.lock().unwrap().running.remove(&id);
        match sent {
            Ok(()) => self.log(&format!("{id} has run to its end, event {last}")),
            Err(at) => self.log(&format!("{id} ended before its end, after event {at}")),
        }
        sent.is_ok() && !is_unframed
    }

    /// Sends the events of a run. The error is the last event that was sent.
    fn send_events(
        &self,
        id: &str,
        (after, last): (u64, u64),
        is_unframed: bool,
        stop: &AtomicBool,
        connection: &mut Connection,
    ) -> Result<(), u64> {
        let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        let leaving = self.leaving_header();
        let leaving = leaving.map_or(String::new(), |(name, value)| format!("{name}: {value}\r\n"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nBulrushusher-Request-Id: {id}\r\nBulrushusher-Server-Seal: {}.{id}\r\n\
             Content-Type: text/event-stream\r\n{leaving}{framing}\r\n",
            self.id
        );
        if !connection.send(head.as_bytes()) {
            return Err(after);
        }
        for event in after + 1..=last {
            if connection.is_closed_within(self.behavior.pause) || stop.load(Ordering::Relaxed) {
                return Err(event - 1);
            }
            let text = format!("id: {event}\ndata: {id} from {}\n\n", self.id);
            let bytes = if is_unframed { text.into_bytes() } else { chunk(text.as_bytes()) };
            if !connection.send(&bytes) {
                return Err(event - 1);
            }
        }
        match is_unframed || connection.send(&chunk(b"")) {
            true => Ok(()),
            false => Err(last),
        }
    }

    fn answer(&self, req: &Request, connection: &mut Connection) -> bool {
        let id = req.header("bulrushusher-request-id").to_owned();
        self.state.lock().unwrap().executed.push(id.clone());
        thread::sleep(Duration::from_millis(20));
        let seal = format!("{}.{id}", self.id);
        let headers =
            [("Bulrushusher-Request-Id", id.as_str()), ("Bulrushusher-Server-Seal", seal.as_str())];
        self.respond(connection, 200, &headers, format!("{id} done").as_bytes())
    }
}
