"""Communication between instances: messages, authenticated streams, membership and gossip."""
