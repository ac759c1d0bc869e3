//! Stand-ins for the store, engines, plain services and the VM list; a load tool.
