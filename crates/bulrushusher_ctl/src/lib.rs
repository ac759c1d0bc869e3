//! bulrushctl: the operators' command.
