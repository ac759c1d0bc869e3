//! The residency of a request while the configuration changes.

use bulrushusher_world::{ClientAccountName, Residency};

use crate::{RouteMatch, RoutingConfig};

/// What determines where a caller's request may be processed.
///
/// The route and the account are looked up again whenever the request is placed or sent: a
/// configuration that came into force since the request was accepted may be narrower.
///
/// ```
/// use bulrushusher_forward::ResidencyScope;
/// use bulrushusher_world::{RegionName, Residency};
/// let accepted = Residency::only([RegionName::try_from("west").unwrap()]);
/// let scope = ResidencyScope { accepted: &accepted, host: "a.example", path: "/", account: None };
/// assert_eq!(scope.in_force(None), accepted);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ResidencyScope<'a> {
    /// The residency under the configuration by which the request was accepted.
    pub accepted: &'a Residency,
    /// Host of the request's route.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// The client account, if the request has one.
    pub account: Option<&'a ClientAccountName>,
}

impl ResidencyScope<'_> {
    /// Where the request may be processed under `routing`, the configuration in force. A route or an
    /// account that was removed restricts nothing further; a route that cannot be read permits no
    /// place.
    pub fn in_force(&self, routing: Option<&RoutingConfig>) -> Residency {
        // Each placement and each send asks; the lookups are left out where nothing is restricted.
        let Some(routing) = routing.filter(|routing| routing.has_residency()) else {
            return self.accepted.clone();
        };
        let of_route = match routing.find_route(self.host, self.path) {
            RouteMatch::Route(route) => route.residency.clone(),
            RouteMatch::Unreadable => Residency::only([]),
            RouteMatch::None => Residency::Anywhere,
        };
        let accounts = routing.accounts();
        let account = accounts.and_then(|accounts| accounts.find_by_name(self.account?));
        let of_account = account.map_or(&Residency::Anywhere, |account| &account.residency);
        self.accepted.and(&of_route).and(of_account)
    }
}
