//! A stand-in of a plain service's runner.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Server, response, send};

/// How a runner answers a request that it has run.
pub type Answer = fn(nth: usize) -> u16;

/// A request that a runner got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub runner: &'static str,
    pub id: String,
    pub at: Instant,
    /// The status with which it was answered; 0 if it was cut off.
    pub status: u16,
}

/// What all runners got.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }

    /// How often each request was run.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        self.all().into_iter().for_each(|it| *runs.entry(it.id).or_insert(0) += 1);
        runs
    }

    fn begin(&self, arrival: Arrival) -> usize {
        let mut all = self.0.lock().unwrap();
        all.push(arrival);
        all.len() - 1
    }

    fn end(&self, nth: usize, status: u16) {
        self.0.lock().unwrap()[nth].status = status;
    }
}

/// One start of a runner.
pub struct Runner {
    pub id: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    server: Server,
}

impl Runner {
    /// Starts a runner that works for `work` on a request. `born` is its start by the clock of its
    /// machine, in Unix ms.
    pub fn start(
        id: &'static str,
        address: SocketAddr,
        born: u64,
        work: Duration,
        answer: Answer,
        arrivals: &Arrivals,
    ) -> std::io::Result<Runner> {
        let arrivals = arrivals.clone();
        let handler = move |req: Message, stream: &mut TcpStream| {
            let named = req.header("bulrushusher-expect-instance").to_owned();
            if !named.is_empty() && named != id {
                let headers = [("Bulrushusher-Not-Run", "1")];
                return send(stream, &response(421, &headers, b""));
            }
            if req.path() == "/report" {
                let body = format!(
                    "{{\"born\":{born},\"busy\":false,\"seq\":0,\"num_waiting\":0,\"num_running\":0}}"
                );
                return send(stream, &response(200, &[], body.as_bytes()));
            }
            let request = req.header("bulrushusher-request-id").to_owned();
            let arrival = Arrival { runner: id, id: request.clone(), at: Instant::now(), status: 0 };
            let nth = arrivals.begin(arrival);
            thread::sleep(work);
            let status = answer(nth);
            let seal = format!("seal-{id}-{request}");
            let headers = [
                ("Bulrushusher-Request-Id", request.as_str()),
                ("Bulrushusher-Server-Seal", seal.as_str()),
            ];
            let sent = send(stream, &response(status, &headers, b"the runner's bytes"));
            if sent {
                arrivals.end(nth, status);
            }
            sent
        };
        Ok(Runner { id, address, born, server: Server::start(address, handler)? })
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"ba-petrzalka\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_left_ms\":0,\
             \"stage\":null,\"seq\":0,\"born\":{}}}",
            self.address, self.born,
        )
    }

    /// Ends the process of the runner.
    pub fn end(&self) {
        self.server.end();
    }
}
