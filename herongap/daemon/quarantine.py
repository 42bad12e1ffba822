"""What to do with a store that cannot be used: put it aside for people to look at, and start without it."""

import os


def quarantine(path: str) -> str:
    """Rename a file or folder to the first free PATH.bad-N; its new name. Raises OSError."""
    aside = next(name for i in range(1000) if not os.path.exists(name := f"{path}.bad-{i}"))
    os.rename(path, aside)
    return aside
