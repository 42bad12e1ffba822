"""What the keys mean: the list of streamers as the module wants it, and which controllers live.

Decides, without I/O, what a key's value is worth: a bad value is refused by itself and named, and leaves the
last good one of the same key in place; a drain counts by its key alone, whatever its value; a streamer whose
key was made anew has started anew, cold.
"""

from collections.abc import Iterable

from herongap.etcd.follower import KeyChange, KeyEntry
from herongap.etcd.keys import InvalidValueError, StreamerValue, decode_value, split_key
from herongap.interface import StreamerEntry, StreamerStatus


class Registry:
    """Streamers, drains and controllers under a prefix.

    `epoch` is the host's clock at the zero of the epoch, which streamers state their start in.
    """

    def __init__(self, prefix: str, epoch: float):
        self.prefix, self.epoch = prefix, epoch
        self.streamers: dict[str, StreamerValue] = {}
        self.started_at: dict[str, float | None] = {}
        self.drains: set[str] = set()
        self.controllers: dict[int, str] = {}
        self.bad_values: dict[str, str] = {}
        self._removed: dict[str, StreamerEntry] = {}

    def apply(self, now: float, changes: Iterable[KeyChange], first: bool = False) -> set[str]:
        """Changes of keys; gives the streamers whose lines are others now.

        `first` says that nothing was known before: what is found then may have run for long.
        """
        touched = set()
        for change in changes:
            named = split_key(self.prefix, change.key)
            if named is None:
                continue
            kind, name = named
            self.bad_values.pop(change.key, None)
            if kind == "streamers":
                if change.new is None:
                    self._leave(name)
                else:
                    self._take_streamer(now, name, change, first)
                touched.add(name)
            elif kind == "drains":
                self._take_drain(name, change)
                touched.add(name)
            else:
                self._take_controller(name, change)
        return {name for name in touched if name in self.streamers or name in self._removed}

    def _take_streamer(self, now: float, name: str, change: KeyChange, first: bool) -> None:
        anew = change.old is None or change.recreated
        try:
            value = self._read("streamers", change.key, change.new)
        except InvalidValueError:
            # The last good value is still the best word on the same process, and none on another.
            if anew:
                self._leave(name)
            return
        known = self.started_at.get(name)
        if value.started is not None:
            known = value.started + self.epoch
        elif anew and not first:
            known = now
        self.streamers[name], self.started_at[name] = value, known
        self._removed.pop(name, None)

    def _take_drain(self, name: str, change: KeyChange) -> None:
        if change.new is None:
            self.drains.discard(name)
            return
        self.drains.add(name)
        try:
            self._read("drains", change.key, change.new)
        except InvalidValueError:
            return  # named in `bad`, and drained all the same: to send work there would be the worse mistake

    def _take_controller(self, name: str, change: KeyChange) -> None:
        if not name.isdigit():
            self.bad_values[change.key] = "not a controller's number"
            return
        self.controllers.pop(int(name), None)
        if change.new is None:
            return
        try:
            self.controllers[int(name)] = self._read("controllers", change.key, change.new).name
        except InvalidValueError:
            # It holds the number, under whatever name: it counts as live.
            self.controllers[int(name)] = ""

    def _read(self, kind: str, key: str, item: KeyEntry):
        try:
            return decode_value(kind, item.value)
        except InvalidValueError as fault:
            self.bad_values[key] = str(fault)
            raise

    def _leave(self, name: str) -> None:
        if name in self.streamers:
            self._removed[name] = self.entry(name)._replace(status=StreamerStatus.LEFT)
            del self.streamers[name], self.started_at[name]

    def entry(self, name: str) -> StreamerEntry:
        """A streamer as the module wants it; one that is no longer listed has left."""
        value = self.streamers.get(name)
        if value is None:
            return self._removed[name]
        standing = StreamerStatus.LEAVING if name in self.drains else StreamerStatus.ACTIVE
        cell, rack = value.cell or name, value.rack or name
        started = self.started_at[name]
        return StreamerEntry(name, value.zone, value.kind, name, cell, rack, standing, value.weight, started)

    def entries(self, names: Iterable[str]) -> tuple[StreamerEntry, ...]:
        """The lines of some streamers; those that have left are forgotten with it."""
        found = tuple(self.entry(name) for name in sorted(names))
        for entry in found:
            self._removed.pop(entry.streamer, None)
        return found

    def all_entries(self) -> tuple[StreamerEntry, ...]:
        """The whole list."""
        self._removed.clear()
        return self.entries(self.streamers)

    def addresses(self, names: Iterable[str]) -> dict[str, tuple[str, int]]:
        """Where some streamers are reached, those that are listed."""
        return {name: self.streamers[name].address for name in names if name in self.streamers}
