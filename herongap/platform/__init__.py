"""The platform's protocol without I/O: JSON lines, resolver answers, and a controller's configuration."""
