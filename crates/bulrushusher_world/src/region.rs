//! Regions, the data centres in them, and where a request may be processed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{DataCentreName, NameError, RegionName};

/// Why a topology was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TopologyError {
    /// An entry is not of the form `data-centre:region`.
    #[display("`{entry}` is not of the form data-centre:region; separate entries by commas")]
    Entry {
        /// The entry.
        entry: String,
    },
    /// A name is not valid.
    #[display("in `{entry}`: {cause}")]
    Name {
        /// The entry.
        entry: String,
        /// Why the name is not valid.
        cause: NameError,
    },
    /// A data centre is listed in two regions.
    #[display("data centre {data_centre} is in two regions; list it once")]
    TwoRegions {
        /// The data centre.
        data_centre: DataCentreName,
    },
}

/// The region of each data centre.
///
/// ```
/// use bulrushusher_world::{DataCentreName, Topology};
/// let topology = Topology::try_from("ba-a:west,ba-b:west,ke-a:east").unwrap();
/// let name = |text| DataCentreName::try_from(text).unwrap();
/// assert!(topology.is_same_region(&name("ba-a"), &name("ba-b")));
/// assert!(!topology.is_same_region(&name("ba-a"), &name("ke-a")));
/// assert!(!topology.is_same_region(&name("ba-a"), &name("unknown")));
/// assert!(Topology::try_from("ba-a").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: Arc<BTreeMap<DataCentreName, RegionName>>,
}

impl Topology {
    /// The region of a data centre; `None` if the topology lacks the data centre.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(data_centre)
    }

    /// True if both data centres are in one region. A data centre that the topology lacks is in the
    /// same region as itself only.
    pub fn is_same_region(&self, a: &DataCentreName, b: &DataCentreName) -> bool {
        a == b || self.region_of(a).is_some_and(|region| self.region_of(b) == Some(region))
    }

    /// Adds a data centre, unless the topology contains it already.
    #[must_use]
    pub fn with(mut self, data_centre: DataCentreName, region: RegionName) -> Topology {
        Arc::make_mut(&mut self.regions).entry(data_centre).or_insert(region);
        self
    }

    /// True if some data centre is in the region.
    pub fn has_region(&self, region: &RegionName) -> bool {
        self.regions.values().any(|known| known == region)
    }

    /// True if the deployment states no regions.
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// True where distance matters: the topology has two regions or more.
    pub fn has_many_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// All data centres, each with its region.
    pub fn data_centres(&self) -> impl Iterator<Item = (&DataCentreName, &RegionName)> {
        self.regions.iter()
    }
}

impl TryFrom<&str> for Topology {
    type Error = TopologyError;

    /// Parses `data-centre:region` entries that are separated by commas. An empty text is a topology
    /// without data centres.
    fn try_from(text: &str) -> Result<Topology, TopologyError> {
        let mut regions = BTreeMap::new();
        for entry in text.split(',').map(str::trim).filter(|entry| !entry.is_empty()) {
            let invalid = |cause| TopologyError::Name { entry: entry.to_owned(), cause };
            let (data_centre, region) = entry
                .split_once(':')
                .ok_or_else(|| TopologyError::Entry { entry: entry.to_owned() })?;
            let data_centre = DataCentreName::try_from(data_centre.trim()).map_err(invalid)?;
            let region = RegionName::try_from(region.trim()).map_err(invalid)?;
            if regions.get(&data_centre).is_some_and(|known| *known != region) {
                return Err(TopologyError::TwoRegions { data_centre });
            }
            regions.insert(data_centre, region);
        }
        Ok(Topology { regions: Arc::new(regions) })
    }
}

/// Where a request may be processed and its data may be kept.
///
/// ```
/// use bulrushusher_world::{DataCentreName, RegionName, Residency, Topology};
/// let topology = Topology::try_from("ba-a:west,ke-a:east").unwrap();
/// let region = |text| RegionName::try_from(text).unwrap();
/// let name = |text| DataCentreName::try_from(text).unwrap();
/// let west = Residency::only([region("west")]);
/// assert!(west.permits(&topology, &name("ba-a")));
/// assert!(!west.permits(&topology, &name("ke-a")));
/// assert!(!west.permits(&topology, &name("unknown")));
/// assert!(west.and(&Residency::only([region("east")])).is_empty());
/// assert_eq!(west.and(&Residency::Anywhere), west);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Residency {
    /// In any region.
    #[default]
    Anywhere,
    /// Only in these regions.
    Only(Arc<BTreeSet<RegionName>>),
}

impl Residency {
    /// Only in the given regions; nowhere if there are none.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Residency {
        Residency::Only(Arc::new(regions.into_iter().collect()))
    }

    /// Where both permit it.
    #[must_use]
    pub fn and(&self, other: &Residency) -> Residency {
        match (self, other) {
            (Residency::Anywhere, it) | (it, Residency::Anywhere) => it.clone(),
            (Residency::Only(a), Residency::Only(b)) if a == b => self.clone(),
            (Residency::Only(a), Residency::Only(b)) => Residency::only(a.intersection(b).cloned()),
        }
    }

    /// True if a runner in the data centre may process the request. A data centre that the topology
    /// lacks is in no region.
    pub fn permits(&self, topology: &Topology, data_centre: &DataCentreName) -> bool {
        match self {
            Residency::Anywhere => true,
            Residency::Only(regions) => {
                topology.region_of(data_centre).is_some_and(|region| regions.contains(region))
            }
        }
    }

    /// True if a request may be processed in some data centre of the topology. Otherwise only
    /// another configuration can change that.
    ///
    /// ```
    /// use bulrushusher_world::{RegionName, Residency, Topology};
    /// let topology = Topology::try_from("ba-a:west,ke-a:east").unwrap();
    /// let only = |name| Residency::only([RegionName::try_from(name).unwrap()]);
    /// assert!(only("west").permits_any(&topology) && !only("north").permits_any(&topology));
    /// assert!(Residency::Anywhere.permits_any(&Topology::default()));
    /// ```
    pub fn permits_any(&self, topology: &Topology) -> bool {
        match self {
            Residency::Anywhere => true,
            Residency::Only(regions) => regions.iter().any(|region| topology.has_region(region)),
        }
    }

    /// The regions to which requests are restricted; none where they are not restricted.
    pub fn regions(&self) -> impl Iterator<Item = &RegionName> {
        let regions = match self {
            Residency::Anywhere => None,
            Residency::Only(regions) => Some(regions),
        };
        regions.into_iter().flat_map(|regions| regions.iter())
    }

    /// True if no region is permitted.
    pub fn is_empty(&self) -> bool {
        matches!(self, Residency::Only(regions) if regions.is_empty())
    }

    /// The permitted regions, for logs.
    pub fn describe(&self) -> String {
        match self {
            Residency::Anywhere => "any".to_owned(),
            Residency::Only(regions) => {
                let names: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
                names.join(",")
            }
        }
    }
}
