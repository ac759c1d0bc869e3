//! Client for the part of the engine's protocol that the agent uses.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushusher_http::{HttpClient, HttpError, LineStream};
use serde::{Deserialize, Serialize};

/// Maximum time for the engine to import a KV cache, or to report that it is gone.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(6_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A message of a prefill stream.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum PrefillEvent {
    Beat,
    Done { kv: u64, tokens: u64, cached: u64 },
    Exported,
    Evicted,
}

/// A message of a decode stream.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum DecodeEvent {
    Beat,
    Token { n: usize, text: String },
    End { tokens: usize },
    Cancelled,
}

#[derive(Debug, Serialize)]
struct PrefillCall<'a> {
    run: &'a str,
    key: &'a str,
    prompt: &'a str,
    priority: u64,
}

#[derive(Debug, Serialize)]
struct KvSource {
    engine: SocketAddr,
    kv: u64,
}

#[derive(Debug, Serialize)]
struct DecodeCall<'a> {
    run: &'a str,
    key: &'a str,
    kv: KvSource,
    max_tokens: u32,
}

#[derive(Debug, Serialize)]
struct ResumeCall<'a> {
    run: &'a str,
    from: usize,
}

#[derive(Debug, Serialize)]
struct RunName<'a> {
    run: &'a str,
}

#[derive(Debug, Deserialize)]
struct Runs {
    runs: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct LoadReport {
    running: u32,
    waiting: u32,
}

/// Client of the agent's engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineClient {
    http: HttpClient,
    engine: SocketAddr,
    idle_timeout: Duration,
}

impl EngineClient {
    pub(crate) fn new(
        http: HttpClient,
        engine: SocketAddr,
        idle_timeout: Duration,
    ) -> EngineClient {
        EngineClient { http, engine, idle_timeout }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.engine
    }

    pub(crate) async fn prefill(
        &self,
        order: &bulrushusher_wire::PrefillRun,
    ) -> Result<LineStream, HttpError> {
        let call = PrefillCall {
            run: &order.run,
            key: order.key.as_str(),
            prompt: &order.prompt,
            // Prefills run in the order of their grants, because the decode slot of an earlier one
            // has been reserved for longer.
            priority: order.reservation.0,
        };
        self.http.post_stream(self.engine, "/prefill", &call, self.idle_timeout).await
    }

    pub(crate) async fn decode(
        &self,
        run: &str,
        key: &str,
        work: &bulrushusher_wire::DecodeRun,
    ) -> Result<LineStream, HttpError> {
        let kv = KvSource { engine: work.kv.engine, kv: work.kv.kv };
        let call = DecodeCall { run, key, kv, max_tokens: work.max_tokens };
        // The response starts when the KV cache is imported, or known to be gone.
        let opened = self.http.post_stream(self.engine, "/decode", &call, IMPORT_TIMEOUT).await?;
        Ok(opened.with_idle_timeout(self.idle_timeout))
    }

    pub(crate) async fn resume(&self, run: &str, from: usize) -> Result<LineStream, HttpError> {
        self.http
            .post_stream(self.engine, "/resume", &ResumeCall { run, from }, self.idle_timeout)
            .await
    }

    /// Cancels a run and frees its memory; returns false if the engine held none.
    pub(crate) async fn cancel_run(&self, run: &str) -> Result<bool, HttpError> {
        self.http.post(self.engine, "/cancel", &RunName { run }, CALL_TIMEOUT).await
    }

    /// Lists the runs that hold engine memory.
    pub(crate) async fn requests(&self) -> Result<Vec<String>, HttpError> {
        let runs: Runs = self.http.get(self.engine, "/requests", CALL_TIMEOUT).await?;
        Ok(runs.runs)
    }

    /// The numbers of running and waiting requests. The engine's report lags behind.
    pub(crate) async fn load(&self) -> Result<(u32, u32), HttpError> {
        let load: LoadReport = self.http.get(self.engine, "/load", CALL_TIMEOUT).await?;
        Ok((load.running, load.waiting))
    }
}
