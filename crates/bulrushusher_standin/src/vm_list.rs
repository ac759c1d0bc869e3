//! A stand-in for the platform's lagging list of VMs.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::VmName;
use serde::{Deserialize, Serialize};

/// What the list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
    /// It is gone.
    Gone,
}

/// The list: changes are seen only after the lag.
///
/// ```
/// use bulrushusher_standin::vm_list::{VmList, VmState};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::VmName;
/// let vm = VmName::try_from("vm-1").unwrap();
/// let mut list = VmList::new(Millis(2_000));
/// list.set(vm.clone(), VmState::Live, Millis(0));
/// list.set(vm.clone(), VmState::Leaving, Millis(5_000));
/// assert_eq!(list.seen(Millis(6_000))[&vm], VmState::Live);
/// assert_eq!(list.seen(Millis(7_000))[&vm], VmState::Leaving);
/// ```
#[derive(Clone, Debug)]
pub struct VmList {
    lag: Millis,
    changes: Vec<(Millis, VmName, VmState)>,
}

impl VmList {
    /// An empty list whose changes are seen after `lag`.
    pub fn new(lag: Millis) -> VmList {
        VmList { lag, changes: Vec::new() }
    }

    /// A VM changed at `now`.
    pub fn set(&mut self, vm: VmName, state: VmState, now: Millis) {
        self.changes.push((now, vm, state));
    }

    /// The list as a reader sees it at `now`.
    pub fn seen(&self, now: Millis) -> BTreeMap<VmName, VmState> {
        let out = self.changes.iter().filter(|(at, ..)| at.plus(self.lag) <= now);
        out.map(|(_, vm, state)| (vm.clone(), *state)).collect()
    }
}
