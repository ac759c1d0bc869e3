//! `bulrushctl apply`: writes the desired objects that differ from the stored ones.

use bulrushusher_operator::v1;

use crate::CtlError;
use crate::apply::DesiredObjects;
use crate::cli::Client;
use crate::show::Rows;

/// The change that turns a stored object into the desired one.
enum Change {
    Create,
    /// Update of the object that is stored with this version.
    Update(u64),
    Unchanged,
}

fn change_to<T: PartialEq>(stored: Option<(u64, T)>, desired: &T) -> Change {
    match stored {
        None => Change::Create,
        Some((_, stored)) if stored == *desired => Change::Unchanged,
        Some((version, _)) => Change::Update(version),
    }
}

impl Change {
    fn verb(&self) -> &'static str {
        match self {
            Change::Create => "create",
            Change::Update(_) => "update",
            Change::Unchanged => "same",
        }
    }

    /// The expected version for the write, 0 for a new object; `None` if there is nothing to write.
    fn expected_version(&self) -> Option<u64> {
        match self {
            Change::Create => Some(0),
            Change::Update(version) => Some(*version),
            Change::Unchanged => None,
        }
    }
}

/// Creates or updates the objects of a file. With `dry_run`, only lists the changes.
pub(crate) async fn apply(
    client: &mut Client,
    desired: &DesiredObjects,
    dry_run: bool,
) -> Result<Rows, CtlError> {
    let mut rows =
        Rows { heading: vec!["kind", "name", "change", "version", "revision"], rows: Vec::new() };
    apply_closings(client, desired, dry_run, &mut rows).await?;
    apply_endpoints(client, desired, dry_run, &mut rows).await?;
    apply_accounts(client, desired, dry_run, &mut rows).await?;
    Ok(rows)
}

fn push_row(rows: &mut Rows, kind: &str, name: &str, change: &Change, reply: Option<v1::PutReply>) {
    let version = reply.map(|reply| reply.version);
    let revision = reply.map(|reply| reply.revision);
    rows.rows.push(vec![
        kind.into(),
        name.into(),
        change.verb().into(),
        version.into(),
        revision.into(),
    ]);
}

async fn apply_closings(
    client: &mut Client,
    desired: &DesiredObjects,
    dry_run: bool,
    rows: &mut Rows,
) -> Result<(), CtlError> {
    let stored = client.list_closings(v1::ListRequest {}).await?.into_inner().closings;
    for object in &desired.closings {
        let current = stored.iter().find(|it| it.name == object.name);
        let current = current.map(|it| (it.version, v1::Closing { version: 0, ..it.clone() }));
        let change = change_to(current, object);
        let mut reply = None;
        if let (Some(expected_version), false) = (change.expected_version(), dry_run) {
            let closing = Some(object.clone());
            let req = v1::PutClosingRequest { closing, expected_version };
            reply = Some(client.put_closing(req).await?.into_inner());
        }
        push_row(rows, "closing", &object.name, &change, reply);
    }
    Ok(())
}

async fn apply_endpoints(
    client: &mut Client,
    desired: &DesiredObjects,
    dry_run: bool,
    rows: &mut Rows,
) -> Result<(), CtlError> {
    let stored = client.list_endpoints(v1::ListRequest {}).await?.into_inner().endpoints;
    for object in &desired.endpoints {
        let current = stored.iter().find(|it| it.name == object.name);
        let current = current.map(|it| (it.version, v1::Endpoint { version: 0, ..it.clone() }));
        let change = change_to(current, object);
        let mut reply = None;
        if let (Some(expected_version), false) = (change.expected_version(), dry_run) {
            let endpoint = Some(object.clone());
            let req = v1::PutEndpointRequest { endpoint, expected_version };
            reply = Some(client.put_endpoint(req).await?.into_inner());
        }
        push_row(rows, "endpoint", &object.name, &change, reply);
    }
    Ok(())
}

async fn apply_accounts(
    client: &mut Client,
    desired: &DesiredObjects,
    dry_run: bool,
    rows: &mut Rows,
) -> Result<(), CtlError> {
    let stored = client.list_accounts(v1::ListRequest {}).await?.into_inner().accounts;
    for object in &desired.accounts {
        let current = stored.iter().find(|it| it.name == object.name);
        let current = current.map(|it| (it.version, v1::Account { version: 0, ..it.clone() }));
        let change = change_to(current, object);
        let mut reply = None;
        if let (Some(expected_version), false) = (change.expected_version(), dry_run) {
            let account = Some(object.clone());
            let req = v1::PutAccountRequest { account, expected_version };
            reply = Some(client.put_account(req).await?.into_inner());
        }
        push_row(rows, "account", &object.name, &change, reply);
    }
    Ok(())
}
