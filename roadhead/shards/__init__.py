"""Machine shards: how machines are divided among the controllers."""
