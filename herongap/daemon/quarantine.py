"""Moving an unusable store out of the way: it is kept for inspection, and the daemon starts without it."""

import os


def quarantine(path: str) -> str:
    """Rename a file or folder to the first free PATH.bad-N and return the new name. Raises OSError."""
    bad_path = next(name for i in range(1000) if not os.path.exists(name := f"{path}.bad-{i}"))
    os.rename(path, bad_path)
    return bad_path
