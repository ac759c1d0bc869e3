//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, response, serve};

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and spec (as JSON) by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, and whether it was a removal.
    history: Vec<(u64, String, String, bool)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let address = listener.local_addr().expect("it is bound");
        let store = Store { address, shared: Arc::default() };
        let served = store.clone();
        serve(listener, move |req, connection| served.handle(&req, connection));
        store
    }

    /// Writes an object, as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Removes an object, as a runner does that has left.
    pub fn remove_object(&self, kind: &str, name: &str) {
        self.remove(kind, name, None);
    }

    fn handle(&self, req: &Request, connection: &mut Connection) -> bool {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let value =
            |key: &str| query.split('&').find_map(|it| it.strip_prefix(key)?.strip_prefix('='));
        let number = |key: &str| value(key).and_then(|it| it.parse::<u64>().ok());
        let (status, body) = match (req.method.as_str(), name) {
            ("GET", None) => match number("watch") {
                Some(after) => self.watch(&kind, after, number("wait_ms").unwrap_or(0)),
                None => (200, self.list(&kind, value("after").unwrap_or(""))),
            },
            ("GET", Some(name)) => match self.shared.0.lock().unwrap().object(&kind, &name) {
                Some(object) => (200, object),
                None => (404, "{}".to_owned()),
            },
            ("DELETE", Some(name)) => self.remove(&kind, &name, number("revision")),
            (method, name) => self.write(method, &kind, name, &req.body),
        };
        connection.send(&response(status, &[("Content-Type", "application/json")], body.as_bytes()))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let names = state.objects.keys().filter(|key| key.0 == kind && key.1.as_str() > after);
        let items: Vec<String> = names.filter_map(|key| state.object(kind, &key.1)).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.events(kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn remove(&self, kind: &str, name: &str, expected: Option<u64>) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let found = state.objects.get(&key).map(|object| object.0);
        match found {
            None => (404, "{}".to_owned()),
            Some(at) if expected.is_some_and(|expected| expected != at) => {
                (409, state.object(kind, name).unwrap_or_default())
            }
            Some(_) => {
                state.objects.remove(&key);
                state.revision += 1;
                let at = state.revision;
                state.history.push((at, key.0, key.1, true));
                drop(state);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<String>, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body).into_owned();
        let metadata = json_member(&text, "metadata").unwrap_or_default();
        let given = json_member(&metadata, "name").map(|it| it.trim_matches('"').to_owned());
        let Some(name) = name.or(given) else { return (400, "{}".to_owned()) };
        let expected = json_member(&metadata, "revision").and_then(|it| it.parse::<u64>().ok());
        let spec = json_member(&text, "spec").unwrap_or_else(|| "{}".to_owned());
        let mut state = self.shared.0.lock().unwrap();
        let found = state.objects.get(&(kind.to_owned(), name.clone())).map(|object| object.0);
        let is_conflict = match (method, found) {
            ("POST", found) => found.is_some(),
            (_, None) => return (404, "{}".to_owned()),
            (_, Some(at)) => expected.is_some_and(|expected| expected != at),
        };
        if is_conflict {
            return (409, state.object(kind, &name).unwrap_or_default());
        }
        state.put(kind, &name, spec);
        let object = state.object(kind, &name).unwrap_or_default();
        drop(state);
        self.shared.1.notify_all();
        (200, object)
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: String) {
        self.revision += 1;
        let at = self.revision;
        self.objects.insert((kind.to_owned(), name.to_owned()), (at, spec));
        self.history.push((at, kind.to_owned(), name.to_owned(), false));
    }

    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let (at, spec) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{at},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{spec},\"status\":{{}}}}"
        ))
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let newer = self.history.iter().filter(|(at, of, ..)| *at > after && of == kind);
        let events = newer.map(|(at, _, name, removed)| {
            let gone = format!(
                "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{at}}},\"spec\":{{}},\"status\":{{}}}}"
            );
            let object = self.object(kind, name).filter(|_| !removed).unwrap_or(gone);
            format!("{{\"object\":{object},\"removed\":{removed}}}")
        });
        events.collect()
    }
}

/// The text of a member's value in a JSON object.
pub fn json_member(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (at, c) in rest.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => in_text = !in_text,
            _ if in_text => {}
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return Some(rest[..at].trim().to_owned()),
            '}' | ']' => depth -= 1,
            ',' if depth == 0 => return Some(rest[..at].trim().to_owned()),
            _ => {}
        }
    }
    None
}
