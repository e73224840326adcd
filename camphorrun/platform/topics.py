"""Names of the store's topics and keys."""

CONFIGURATION_TOPIC = "keyed.op"
REPLICA_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
