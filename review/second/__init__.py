"""Stand-ins of the second review: store, runner, relay, client, site."""
