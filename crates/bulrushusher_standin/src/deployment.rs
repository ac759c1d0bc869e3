//! Deployments to stand in for, filled in by the load tool.
