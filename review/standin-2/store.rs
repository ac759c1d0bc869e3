//! A stand-in of the platform's store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Server, response, send};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// The object's content then; `None` if it was removed.
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|it| it.spec == spec) {
            return known.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert(key, Object { revision, spec: spec.to_owned() });
        self.record(kind, name, Some(spec.to_owned()));
        revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self.objects.remove(&(kind.to_owned(), name.to_owned())).is_some() {
            self.revision += 1;
            self.record(kind, name, None);
        }
    }

    fn record(&mut self, kind: &str, name: &str, spec: Option<String>) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.history.push(Change { revision: self.revision, kind, name, spec });
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Store> {
        let store = Store { shared: Arc::default() };
        let served = store.clone();
        let server = Server::start(address, move |req, stream| served.handle(&req, stream))?;
        std::mem::forget(server);
        Ok(store)
    }

    /// Writes an object like the operator or a runner. Returns when it was acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn handle(&self, req: &Message, stream: &mut TcpStream) -> bool {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let mut parts = path.trim_start_matches('/').splitn(3, '/').skip(1);
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().unwrap_or("").to_owned();
        let value = |field: &str| {
            let pair = query.split('&').find_map(|it| it.split_once('=').filter(|it| it.0 == field));
            pair.map(|it| it.1.to_owned())
        };
        let expected = value("revision").and_then(|it| it.parse().ok());
        let (status, body) = match (req.method(), value("watch").and_then(|it| it.parse().ok())) {
            ("GET", Some(after)) => {
                let wait = value("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                (200, self.watch(&kind, after, Duration::from_millis(wait)))
            }
            ("GET", None) if name.is_empty() => (200, self.list(&kind)),
            ("GET", None) => self.get(&kind, &name),
            ("POST", _) => self.write(&kind, &json_text(&req.text(), "name"), req, true),
            ("PUT", _) => self.write(&kind, &name, req, false),
            ("DELETE", _) => self.delete(&kind, &name, expected),
            _ => (404, "{}".to_owned()),
        };
        let json = [("Content-Type", "application/json"), ("Store-Era", "0")];
        send(stream, &response(status, &json, body.as_bytes()))
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|(key, _)| key.0 == kind);
        let items: Vec<String> =
            of_kind.map(|(key, it)| object_json(&key.1, it.revision, &it.spec)).collect();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{}}}", state.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let later = state.history.iter().filter(|it| it.kind == kind && it.revision > after);
            let events: Vec<String> = later.map(event_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(it) => (200, object_json(name, it.revision, &it.spec)),
            None => (404, "{}".to_owned()),
        }
    }

    fn write(&self, kind: &str, name: &str, req: &Message, creates: bool) -> (u16, String) {
        let text = req.text();
        let metadata = text.split("\"spec\":").next().unwrap_or("");
        let expected: Option<u64> = json_number(metadata, "revision");
        let spec = text.split_once("\"spec\":").map_or("{}", |(_, rest)| &rest[..rest.len() - 1]);
        let mut state = self.shared.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let is_conflict = match &known {
            Some(known) => creates || expected.is_some_and(|it| it != known.revision),
            None => !creates,
        };
        match known {
            Some(it) if is_conflict => (409, object_json(name, it.revision, &it.spec)),
            None if is_conflict => (404, "{}".to_owned()),
            _ => {
                let revision = state.put(kind, name, spec);
                drop(state);
                self.shared.1.notify_all();
                (200, object_json(name, revision, spec))
            }
        }
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<u64>) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            None => (404, "{}".to_owned()),
            Some(it) if expected.is_some_and(|expected| expected != it.revision) => {
                (409, object_json(name, it.revision, &it.spec))
            }
            Some(_) => {
                state.remove(kind, name);
                drop(state);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
        }
    }
}

fn object_json(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{{}}}}"
    )
}

fn event_json(change: &Change) -> String {
    let spec = change.spec.as_deref().unwrap_or("{}");
    let object = object_json(&change.name, change.revision, spec);
    format!("{{\"object\":{object},\"removed\":{}}}", change.spec.is_none())
}

/// The first text field of that name; empty if there is none.
fn json_text(text: &str, field: &str) -> String {
    let found = text.split_once(&format!("\"{field}\":\"")).map(|it| it.1);
    found.and_then(|rest| rest.split('"').next()).unwrap_or("").to_owned()
}

fn json_number(text: &str, field: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{field}\":"))?.1;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}
