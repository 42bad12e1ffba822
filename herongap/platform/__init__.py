"""The platform's protocol without I/O: JSON lines, the resolver's answers, a controller's configuration."""
