//! Parses files of desired objects in INI format: `[closing NAME]`, `[class CLOSING/NAME]`,
//! `[endpoint NAME]` and `[account NAME]`.

use std::path::Path;

use bulrushusher_operator::v1;
use ini::{Ini, Properties};

use crate::CtlError;

/// The objects defined in a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredObjects {
    /// Closings with their deliverable classes.
    pub closings: Vec<v1::Closing>,
    /// Endpoints of runners.
    pub endpoints: Vec<v1::Endpoint>,
    /// Client accounts.
    pub accounts: Vec<v1::Account>,
}

/// Reads and parses a file of desired objects.
///
/// # Errors
/// [`CtlError::File`] with the section, the key and the remedy.
pub fn read_desired(file: &Path) -> Result<DesiredObjects, CtlError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| CtlError::File { file: name.clone(), cause: e.to_string() })?;
    parse_desired(&text).map_err(|cause| CtlError::File { file: name, cause })
}

fn parse_desired(text: &str) -> Result<DesiredObjects, String> {
    let ini = Ini::load_from_str(text).map_err(|e| e.to_string())?;
    let mut desired = DesiredObjects::default();
    for (section, properties) in ini.iter() {
        let Some(section) = section else { continue };
        let (kind, name) = section.split_once(' ').ok_or_else(|| {
            format!("[{section}]: the section needs a kind and a name, such as [endpoint NAME]")
        })?;
        let fields = Fields { section, properties };
        match kind {
            "closing" => desired.closings.push(closing(name, &fields)?),
            "class" => add_class(&mut desired.closings, name, &fields)?,
            "endpoint" => desired.endpoints.push(endpoint(name, &fields)?),
            "account" => desired.accounts.push(account(name, &fields)?),
            _ => {
                return Err(format!(
                    "[{section}]: unknown kind; use closing, class, endpoint or account"
                ));
            }
        }
    }
    Ok(desired)
}

/// The keys of a section.
struct Fields<'a> {
    section: &'a str,
    properties: &'a Properties,
}

impl Fields<'_> {
    fn text(&self, key: &str) -> Result<String, String> {
        let value = self.properties.get(key);
        value.map(str::to_owned).ok_or_else(|| format!("[{}] {key} is missing", self.section))
    }

    fn number<T: std::str::FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("[{}] {key} is `{text}`; give a number", self.section))
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.properties.get(key) {
            None | Some("no") => Ok(false),
            Some("yes") => Ok(true),
            Some(other) => {
                Err(format!("[{}] {key} is `{other}`; give `yes` or `no`", self.section))
            }
        }
    }
}

fn closing(name: &str, fields: &Fields) -> Result<v1::Closing, String> {
    let services = fields.text("services")?;
    Ok(v1::Closing {
        name: name.to_owned(),
        version: 0,
        starts_unix_ms: fields.number("starts_unix_ms")?,
        ends_unix_ms: fields.number("ends_unix_ms")?,
        services: services.split(',').map(|service| service.trim().to_owned()).collect(),
        classes: Vec::new(),
        goodput_weight: fields.number("goodput_weight")?,
        waste_weight: fields.number("waste_weight")?,
    })
}

fn add_class(closings: &mut [v1::Closing], name: &str, fields: &Fields) -> Result<(), String> {
    let section = fields.section;
    let (closing, name) = name
        .split_once('/')
        .ok_or_else(|| format!("[{section}]: use the form [class CLOSING/NAME]"))?;
    let closing = closings
        .iter_mut()
        .find(|it| it.name == closing)
        .ok_or_else(|| format!("[{section}]: define [closing {closing}] before this section"))?;
    closing.classes.push(v1::DeliverableClass {
        name: name.to_owned(),
        patience: fields.text("patience")?,
        repeat: fields.text("repeat")?,
        ttft_ms: fields.number("ttft_ms")?,
        per_token_ms: fields.number("per_token_ms")?,
        deadline_ms: fields.number("deadline_ms")?,
    });
    Ok(())
}

fn endpoint(name: &str, fields: &Fields) -> Result<v1::Endpoint, String> {
    Ok(v1::Endpoint {
        name: name.to_owned(),
        version: 0,
        service: fields.text("service")?,
        role: fields.text("role")?,
        data_centre: fields.text("data_centre")?,
        control: fields.text("control")?,
        stream: fields.text("stream")?,
        checks_fencing: fields.flag("checks_fencing")?,
        leaving: fields.flag("leaving")?,
    })
}

fn account(name: &str, fields: &Fields) -> Result<v1::Account, String> {
    Ok(v1::Account {
        name: name.to_owned(),
        version: 0,
        requests_per_second: fields.number("requests_per_second")?,
        burst: fields.number("burst")?,
    })
}
