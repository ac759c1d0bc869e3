//! The operators' RPC, served by every entry. A change is acknowledged once it is in the store.

use std::sync::Arc;

use bulrushusher_operator::v1::operator_server::Operator;
use bulrushusher_operator::{convert, v1};
use bulrushusher_store::{ObjectKind, PutOutcome, StoreError, StoredObject};
use serde::Serialize;
use tonic::{Request, Response, Status};

use crate::LOG;
use crate::configuration::apply_objects;
use crate::entry::Shared;

type Reply<T> = Result<Response<T>, Status>;

/// Implements the operators' RPC.
#[derive(Debug)]
pub(crate) struct OperatorService {
    shared: Arc<Shared>,
}

impl OperatorService {
    pub(crate) fn new(shared: Arc<Shared>) -> OperatorService {
        OperatorService { shared }
    }

    /// Writes an object to the store if its version is `expected_version`, and applies it here.
    async fn put<T: Serialize>(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        value: &T,
    ) -> Reply<v1::PutReply> {
        let value = serde_json::to_value(value).map_err(|e| Status::internal(e.to_string()))?;
        let key = kind.key(name);
        let mark = self.shared.unique_name();
        let put = self.shared.store.put(&key, expected_version, &mark, &value).await;
        match put.map_err(store_status)? {
            PutOutcome::Done(object) => {
                let reply = v1::PutReply { version: object.version, revision: object.revision };
                log::info!("{LOG} {key} written at version {}", object.version);
                apply_objects(&self.shared, &[object]);
                Ok(Response::new(reply))
            }
            PutOutcome::Conflict(current) => Err(conflict(&key, current.as_ref())),
        }
    }

    async fn delete(&self, kind: ObjectKind, req: v1::DeleteRequest) -> Reply<v1::PutReply> {
        if req.expected_version == 0 {
            return Err(Status::invalid_argument(
                "expected_version is 0; give the current version",
            ));
        }
        self.put(kind, &req.name, req.expected_version, &serde_json::Value::Null).await
    }
}

fn store_status(e: StoreError) -> Status {
    match e {
        StoreError::Unavailable { .. } | StoreError::OutcomeUnknown { .. } => {
            Status::unavailable(e.to_string())
        }
        StoreError::InvalidResponse { .. } => Status::internal(e.to_string()),
    }
}

fn conflict(key: &str, current: Option<&StoredObject>) -> Status {
    match current {
        Some(object) => Status::aborted(format!(
            "{key} has version {}, written by {}; read it again and retry",
            object.version, object.mark
        )),
        None => {
            Status::aborted(format!("{key} does not exist; give expected_version 0 to create it"))
        }
    }
}

fn invalid(e: impl std::fmt::Display) -> Status {
    Status::invalid_argument(e.to_string())
}

fn not_found(kind: ObjectKind, name: &str) -> Status {
    Status::not_found(format!(
        "{kind} {name} does not exist; list the objects of this kind to see their names"
    ))
}

fn missing(field: &str) -> Status {
    Status::invalid_argument(format!("{field} is missing from the request; set it"))
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn put_closing(&self, req: Request<v1::PutClosingRequest>) -> Reply<v1::PutReply> {
        let req = req.into_inner();
        let closing = req.closing.ok_or_else(|| missing("closing"))?;
        let closing = convert::closing_from(closing).map_err(invalid)?;
        self.put(ObjectKind::Closing, closing.name.as_str(), req.expected_version, &closing).await
    }

    async fn get_closing(&self, req: Request<v1::GetRequest>) -> Reply<v1::Closing> {
        let name = req.into_inner().name;
        let cfg = self.shared.configuration.load();
        let found = cfg.snapshot.closing(&name);
        let (version, closing) = found.ok_or_else(|| not_found(ObjectKind::Closing, &name))?;
        Ok(Response::new(convert::closing_to(closing, version)))
    }

    async fn list_closings(&self, _: Request<v1::ListRequest>) -> Reply<v1::ListClosingsReply> {
        let cfg = self.shared.configuration.load();
        let all = cfg.snapshot.closings();
        let closings = all.map(|(version, closing)| convert::closing_to(closing, version));
        Ok(Response::new(v1::ListClosingsReply { closings: closings.collect() }))
    }

    async fn delete_closing(&self, req: Request<v1::DeleteRequest>) -> Reply<v1::PutReply> {
        self.delete(ObjectKind::Closing, req.into_inner()).await
    }

    async fn put_endpoint(&self, req: Request<v1::PutEndpointRequest>) -> Reply<v1::PutReply> {
        let req = req.into_inner();
        let endpoint = req.endpoint.ok_or_else(|| missing("endpoint"))?;
        let endpoint = convert::endpoint_from(endpoint).map_err(invalid)?;
        let name = endpoint.name.as_str();
        // The name of a removed endpoint can be created again.
        let cfg = self.shared.configuration.load_full();
        let expected_version = match cfg.snapshot.endpoint_including_removed(name) {
            Some((version, current)) if current.removed.is_some() && req.expected_version == 0 => {
                version
            }
            Some(_) | None => req.expected_version,
        };
        self.put(ObjectKind::Endpoint, name, expected_version, &endpoint).await
    }

    async fn get_endpoint(&self, req: Request<v1::GetRequest>) -> Reply<v1::Endpoint> {
        let name = req.into_inner().name;
        let cfg = self.shared.configuration.load();
        let found = cfg.snapshot.endpoint(&name);
        let (version, endpoint) = found.ok_or_else(|| not_found(ObjectKind::Endpoint, &name))?;
        Ok(Response::new(convert::endpoint_to(endpoint, version)))
    }

    async fn list_endpoints(&self, _: Request<v1::ListRequest>) -> Reply<v1::ListEndpointsReply> {
        let cfg = self.shared.configuration.load();
        let all = cfg.snapshot.endpoints();
        let endpoints = all.map(|(version, endpoint)| convert::endpoint_to(endpoint, version));
        Ok(Response::new(v1::ListEndpointsReply { endpoints: endpoints.collect() }))
    }

    /// Removes an endpoint from its list. Its object is kept and marked as removed, because callers
    /// may retry keys that it executed.
    async fn delete_endpoint(&self, req: Request<v1::DeleteRequest>) -> Reply<v1::PutReply> {
        let req = req.into_inner();
        let cfg = self.shared.configuration.load_full();
        let found = cfg.snapshot.endpoint(&req.name);
        let (_, current) = found.ok_or_else(|| not_found(ObjectKind::Endpoint, &req.name))?;
        let removed = Some(self.shared.clock.now());
        let endpoint = bulrushusher_world::Endpoint { leaving: true, removed, ..current.clone() };
        self.put(ObjectKind::Endpoint, &req.name, req.expected_version, &endpoint).await
    }

    async fn drain_endpoint(&self, req: Request<v1::DrainRequest>) -> Reply<v1::PutReply> {
        let req = req.into_inner();
        let cfg = self.shared.configuration.load_full();
        let found = cfg.snapshot.endpoint(&req.name);
        let (version, current) = found.ok_or_else(|| not_found(ObjectKind::Endpoint, &req.name))?;
        let endpoint = bulrushusher_world::Endpoint { leaving: req.drain, ..current.clone() };
        self.put(ObjectKind::Endpoint, &req.name, version, &endpoint).await
    }

    async fn put_account(&self, req: Request<v1::PutAccountRequest>) -> Reply<v1::PutReply> {
        let req = req.into_inner();
        let account = req.account.ok_or_else(|| missing("account"))?;
        let account = convert::account_from(account).map_err(invalid)?;
        self.put(ObjectKind::Account, account.name.as_str(), req.expected_version, &account).await
    }

    async fn get_account(&self, req: Request<v1::GetRequest>) -> Reply<v1::Account> {
        let name = req.into_inner().name;
        let cfg = self.shared.configuration.load();
        let found = cfg.snapshot.account(&name);
        let (version, account) = found.ok_or_else(|| not_found(ObjectKind::Account, &name))?;
        Ok(Response::new(convert::account_to(account, version)))
    }

    async fn list_accounts(&self, _: Request<v1::ListRequest>) -> Reply<v1::ListAccountsReply> {
        let cfg = self.shared.configuration.load();
        let all = cfg.snapshot.accounts();
        let accounts = all.map(|(version, account)| convert::account_to(account, version));
        Ok(Response::new(v1::ListAccountsReply { accounts: accounts.collect() }))
    }

    async fn delete_account(&self, req: Request<v1::DeleteRequest>) -> Reply<v1::PutReply> {
        self.delete(ObjectKind::Account, req.into_inner()).await
    }

    async fn status(&self, _: Request<v1::StatusRequest>) -> Reply<v1::StatusReply> {
        let now = self.shared.clock.now();
        let table = self.shared.table.lock();
        let endpoints = table.endpoints().map(|(endpoint, hint)| v1::EndpointStatus {
            name: endpoint.name.to_string(),
            leaving: endpoint.leaving,
            used: hint.used.into(),
            places: hint.places.into(),
            waiting: hint.waiting.into(),
            heard_ms_ago: if hint.reported_at.0 == 0 {
                u64::MAX
            } else {
                now.since(hint.reported_at).0
            },
        });
        let endpoints = endpoints.collect();
        drop(table);
        Ok(Response::new(v1::StatusReply {
            entry: self.shared.cfg.name.to_string(),
            revision: self.shared.configuration.load().snapshot.revision,
            store_up: self.shared.is_store_up(),
            in_flight: self.shared.in_flight() as u64,
            endpoints,
        }))
    }
}
