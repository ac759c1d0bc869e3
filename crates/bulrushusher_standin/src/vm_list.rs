//! A stand-in for the platform's list of VMs, which is eventually consistent.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::VmName;
use serde::{Deserialize, Serialize};

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// Scheduled for removal.
    Leaving,
    /// Removed.
    Gone,
}

/// A list of VMs whose changes become visible after a fixed lag.
///
/// ```
/// use bulrushusher_standin::vm_list::{VmList, VmState};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::VmName;
/// let vm = VmName::try_from("vm-1").unwrap();
/// let mut list = VmList::new(Millis(2_000));
/// list.set(vm.clone(), VmState::Live, Millis(0));
/// list.set(vm.clone(), VmState::Leaving, Millis(5_000));
/// assert_eq!(list.visible(Millis(6_000))[&vm], VmState::Live);
/// assert_eq!(list.visible(Millis(7_000))[&vm], VmState::Leaving);
/// ```
#[derive(Clone, Debug)]
pub struct VmList {
    lag: Millis,
    changes: Vec<(Millis, VmName, VmState)>,
}

impl VmList {
    /// An empty list whose changes become visible after `lag`.
    pub fn new(lag: Millis) -> VmList {
        VmList { lag, changes: Vec::new() }
    }

    /// Records that a VM changed to `state` at `now`.
    pub fn set(&mut self, vm: VmName, state: VmState, now: Millis) {
        self.changes.push((now, vm, state));
    }

    /// The states visible to a reader at `now`.
    pub fn visible(&self, now: Millis) -> BTreeMap<VmName, VmState> {
        let visible = self.changes.iter().filter(|(at, ..)| at.plus(self.lag) <= now);
        visible.map(|(_, vm, state)| (vm.clone(), *state)).collect()
    }
}
