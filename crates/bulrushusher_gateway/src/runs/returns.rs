//! Callers that return to continue a stream: which software version began it.

use std::pin::pin;

use bulrushusher_forward::{RouteKind, SoftwareVersion, StreamKey};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::answers::answer::{VERSION_GONE, VERSION_UNKNOWN, Withheld};
use crate::dialect::Dialect;
use crate::runners::router::{ForwardedRequest, Router};

/// Longest wait for other gateways that may know a stream. They answer within some milliseconds, in
/// another region within 60; a lost datagram is sent again.
const LOOKUP_TIMEOUT: Millis = Millis(150);

/// Time after which other gateways are asked once more.
const LOOKUP_RESEND: Millis = Millis(70);

/// Longest wait for the store's record of versions.
const RECORD_TIMEOUT: Millis = Millis(250);

/// Retry-After of a stream that cannot continue: its caller has to begin anew, and need not wait.
const BEGIN_ANEW: Millis = Millis(50);

/// Time by which the clocks of a caller and of this gateway may differ on the end of a stream.
const LIFETIME_MARGIN: Millis = Millis(1_000);

/// How the version of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionSource {
    /// A record at this gateway.
    Own,
    /// The record of another gateway, or of the store.
    Peer,
    /// The store's record has no other version.
    OneVersion,
}

impl VersionSource {
    /// Its label in the log and in metrics.
    fn label(self) -> &'static str {
        match self {
            VersionSource::Own => "own_record",
            VersionSource::Peer => "peer",
            VersionSource::OneVersion => "one_version",
        }
    }
}

impl<D: Dialect> Router<D> {
    /// Binds a request that continues a stream to the version that began it.
    ///
    /// # Errors
    /// The refusal, if that version is not known or no runner of it is left.
    pub(crate) async fn bind_to_stream(&self, fwd: &ForwardedRequest) -> Result<(), Withheld> {
        let is_stream = matches!(fwd.route.kind, RouteKind::Stream { .. });
        if !is_stream || fwd.request.resume_after.is_none() {
            return Ok(());
        }
        let started = self.now();
        let found = self.find_version(fwd).await;
        let waited = self.now().since(started);
        let resumes = fwd.request.resumes.as_ref().map_or("none", |id| id.as_str());
        let Some((version, source)) = found else {
            self.metrics.record_resumed_stream("unknown_version");
            log::info!(
                "streams: refused id={} resumes={resumes} service={} reason=\"{VERSION_UNKNOWN}\" \
                 waited_ms={}",
                fwd.request.id,
                fwd.service,
                waited.0,
            );
            return Err(Withheld { reason: VERSION_UNKNOWN, retry_after: BEGIN_ANEW });
        };
        log::info!(
            "streams: resumes id={} resumes={resumes} service={} version={version} source={} \
             waited_ms={}",
            fwd.request.id,
            fwd.service,
            source.label(),
            waited.0,
        );
        self.pin_version(fwd, &version);
        self.check_version(fwd, &[])?;
        self.metrics.record_resumed_stream(source.label());
        Ok(())
    }

    async fn find_version(
        &self,
        fwd: &ForwardedRequest,
    ) -> Option<(SoftwareVersion, VersionSource)> {
        let shared = &self.shared;
        let key = fwd.request.resumes.as_ref().map(StreamKey::of);
        if let Some(record) = key.and_then(|key| shared.find_stream(key)) {
            return Some((record.version, VersionSource::Own));
        }
        // Other gateways answer while the store does not.
        if let Some(key) = key {
            shared.ask_for_stream(key);
        }
        let of_peer = async {
            let found = shared.wait_for_stream(key?, RECORD_TIMEOUT).await;
            found.map(|record| (record.version, VersionSource::Peer))
        };
        let sole = async {
            let version = shared.sole_version(&fwd.service, RECORD_TIMEOUT).await;
            version.map(|version| (version, VersionSource::OneVersion))
        };
        let (mut of_peer, mut sole) = (pin!(of_peer), pin!(sole));
        let found = tokio::select! {
            biased;
            Some(found) = &mut of_peer => Some(found),
            found = &mut sole => found,
        };
        if found.is_some() {
            return found;
        }
        let key = key?;
        shared.look_up_stream(key);
        for longest in [LOOKUP_RESEND, LOOKUP_TIMEOUT.since(LOOKUP_RESEND)] {
            shared.ask_for_stream(key);
            if let Some(record) = shared.wait_for_stream(key, longest).await {
                return Some((record.version, VersionSource::Peer));
            }
        }
        None
    }

    /// Binds a request to the version of the runner that serves its stream. The first call for a
    /// request counts.
    pub(crate) fn pin_version(&self, fwd: &ForwardedRequest, version: &SoftwareVersion) {
        if fwd.version.set(version.clone()).is_err() {
            return;
        }
        let key = match fwd.request.resume_after {
            None => Some(&fwd.request.id),
            Some(_) => fwd.request.resumes.as_ref(),
        };
        let patience = fwd.request.timeout.unwrap_or(fwd.route.timeout);
        if let Some(id) = key {
            let lifetime = patience.plus(LIFETIME_MARGIN);
            self.shared.record_stream(StreamKey::of(id), version, lifetime);
        }
    }

    /// Checks that a runner of the version that the request is bound to is left, apart from `excluded`.
    ///
    /// # Errors
    /// The refusal, which is logged and counted.
    pub(crate) fn check_version(
        &self,
        fwd: &ForwardedRequest,
        excluded: &[RunnerId],
    ) -> Result<(), Withheld> {
        let Some(version) = fwd.version.get() else { return Ok(()) };
        if !self.shared.is_version_gone(&fwd.service, version, excluded) {
            return Ok(());
        }
        self.metrics.record_resumed_stream("no_runner");
        log::info!(
            "streams: refused id={} service={} version={version} reason=\"{VERSION_GONE}\"",
            fwd.request.id,
            fwd.service,
        );
        Err(Withheld { reason: VERSION_GONE, retry_after: BEGIN_ANEW })
    }
}
