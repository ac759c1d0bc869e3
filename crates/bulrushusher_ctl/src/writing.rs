//! `bulrushctl apply`: writes the objects of a file that differ from those that are held.

use bulrushusher_operator::v1;

use crate::CtlError;
use crate::apply::Desired;
use crate::cli::Client;
use crate::show::Rows;

/// One object of an applied file against what is held.
enum Change {
    Create,
    Update(u64),
    Same,
}

fn change<T: PartialEq>(held: Option<(u64, T)>, wanted: &T) -> Change {
    match held {
        None => Change::Create,
        Some((_, held)) if held == *wanted => Change::Same,
        Some((version, _)) => Change::Update(version),
    }
}

impl Change {
    fn verb(&self) -> &'static str {
        match self {
            Change::Create => "create",
            Change::Update(_) => "update",
            Change::Same => "same",
        }
    }

    /// The version to expect when writing; `None` when there is nothing to write.
    fn expected_version(&self) -> Option<u64> {
        match self {
            Change::Create => Some(0),
            Change::Update(version) => Some(*version),
            Change::Same => None,
        }
    }
}

/// Creates or updates the objects of a file, or tells what would change.
pub(crate) async fn apply(
    client: &mut Client,
    desired: &Desired,
    dry: bool,
) -> Result<Rows, CtlError> {
    let mut rows =
        Rows { heading: vec!["kind", "name", "change", "version", "revision"], rows: Vec::new() };
    apply_closings(client, desired, dry, &mut rows).await?;
    apply_endpoints(client, desired, dry, &mut rows).await?;
    apply_accounts(client, desired, dry, &mut rows).await?;
    Ok(rows)
}

fn note(rows: &mut Rows, kind: &str, name: &str, change: &Change, reply: Option<v1::PutReply>) {
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
    desired: &Desired,
    dry: bool,
    rows: &mut Rows,
) -> Result<(), CtlError> {
    let held = client.list_closings(v1::ListRequest {}).await?.into_inner().closings;
    for wanted in &desired.closings {
        let same = held.iter().find(|held| held.name == wanted.name);
        let same = same.map(|held| (held.version, v1::Closing { version: 0, ..held.clone() }));
        let change = change(same, wanted);
        let mut reply = None;
        if let (Some(expected_version), false) = (change.expected_version(), dry) {
            let closing = Some(wanted.clone());
            let req = v1::PutClosingRequest { closing, expected_version };
            reply = Some(client.put_closing(req).await?.into_inner());
        }
        note(rows, "closing", &wanted.name, &change, reply);
    }
    Ok(())
}

async fn apply_endpoints(
    client: &mut Client,
    desired: &Desired,
    dry: bool,
    rows: &mut Rows,
) -> Result<(), CtlError> {
    let held = client.list_endpoints(v1::ListRequest {}).await?.into_inner().endpoints;
    for wanted in &desired.endpoints {
        let same = held.iter().find(|held| held.name == wanted.name);
        let same = same.map(|held| (held.version, v1::Endpoint { version: 0, ..held.clone() }));
        let change = change(same, wanted);
        let mut reply = None;
        if let (Some(expected_version), false) = (change.expected_version(), dry) {
            let endpoint = Some(wanted.clone());
            let req = v1::PutEndpointRequest { endpoint, expected_version };
            reply = Some(client.put_endpoint(req).await?.into_inner());
        }
        note(rows, "endpoint", &wanted.name, &change, reply);
    }
    Ok(())
}

async fn apply_accounts(
    client: &mut Client,
    desired: &Desired,
    dry: bool,
    rows: &mut Rows,
) -> Result<(), CtlError> {
    let held = client.list_accounts(v1::ListRequest {}).await?.into_inner().accounts;
    for wanted in &desired.accounts {
        let same = held.iter().find(|held| held.name == wanted.name);
        let same = same.map(|held| (held.version, v1::Account { version: 0, ..held.clone() }));
        let change = change(same, wanted);
        let mut reply = None;
        if let (Some(expected_version), false) = (change.expected_version(), dry) {
            let account = Some(wanted.clone());
            let req = v1::PutAccountRequest { account, expected_version };
            reply = Some(client.put_account(req).await?.into_inner());
        }
        note(rows, "account", &wanted.name, &change, reply);
    }
    Ok(())
}
