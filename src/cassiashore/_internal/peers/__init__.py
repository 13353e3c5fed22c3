"""The protocol between instances: messages, framing, authenticated streams and the mesh."""
