"""herongap: admission and quality control for media sessions."""
