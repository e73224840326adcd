"""Topics and keys of the metadata store."""

CONFIGURATION_TOPIC = "keyed.op"
REPLICA_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
# Written by the gateways, the others by operators and replicas.
QUARANTINE_TOPIC = "keyed.quarantine"
VERSION_TOPIC = "keyed.versions"
# Not keyed: its records expire.
STREAM_TOPIC = "streams"
