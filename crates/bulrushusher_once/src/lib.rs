//! At-most-once records: home, executor and bar by ballot.
