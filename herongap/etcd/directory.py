"""What the keys mean: the list of streamers as the module wants it, and which controllers live.

Decides, without I/O, what a key's value is worth: a bad value is refused by itself and named, and leaves the
last good one of the same key in place; a drain counts by its key alone, whatever its value; a streamer whose
key was made anew has started anew, cold.
"""

from collections.abc import Iterable

from herongap.etcd.follower import Change, Item
from herongap.etcd.keys import Bad, StreamerValue, read_value, split
from herongap.interface import StreamerEntry, StreamerStatus


class Directory:
    """Streamers, drains and controllers under a prefix.

    `epoch` is the host's clock at the zero of the epoch, which streamers state their start in.
    """

    def __init__(self, prefix: str, epoch: float):
        self.prefix, self.epoch = prefix, epoch
        self.streamers: dict[str, StreamerValue] = {}
        self.started: dict[str, float | None] = {}
        self.drains: set[str] = set()
        self.controllers: dict[int, str] = {}
        self.bad: dict[str, str] = {}
        self._gone: dict[str, StreamerEntry] = {}

    def take(self, now: float, changes: Iterable[Change], first: bool = False) -> set[str]:
        """Changes of keys; gives the streamers whose lines are others now.

        `first` says that nothing was known before: what is found then may have run for long.
        """
        touched = set()
        for change in changes:
            named = split(self.prefix, change.key)
            if named is None:
                continue
            kind, name = named
            self.bad.pop(change.key, None)
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
        return {name for name in touched if name in self.streamers or name in self._gone}

    def _take_streamer(self, now: float, name: str, change: Change, first: bool) -> None:
        anew = change.old is None or change.replaced
        try:
            value = self._read("streamers", change.key, change.new)
        except Bad:
            # The last good value is still the best word on the same process, and none on another.
            if anew:
                self._leave(name)
            return
        known = self.started.get(name)
        if value.started is not None:
            known = value.started + self.epoch
        elif anew and not first:
            known = now
        self.streamers[name], self.started[name] = value, known
        self._gone.pop(name, None)

    def _take_drain(self, name: str, change: Change) -> None:
        if change.new is None:
            self.drains.discard(name)
            return
        self.drains.add(name)
        try:
            self._read("drains", change.key, change.new)
        except Bad:
            return  # named in `bad`, and drained all the same: to send work there would be the worse mistake

    def _take_controller(self, name: str, change: Change) -> None:
        if not name.isdigit():
            self.bad[change.key] = "not a controller's number"
            return
        self.controllers.pop(int(name), None)
        if change.new is None:
            return
        try:
            self.controllers[int(name)] = self._read("controllers", change.key, change.new).name
        except Bad:
            # It holds the number, under whatever name: it counts as live.
            self.controllers[int(name)] = ""

    def _read(self, kind: str, key: str, item: Item):
        try:
            return read_value(kind, item.value)
        except Bad as fault:
            self.bad[key] = str(fault)
            raise

    def _leave(self, name: str) -> None:
        if name in self.streamers:
            self._gone[name] = self.line(name)._replace(status=StreamerStatus.LEFT)
            del self.streamers[name], self.started[name]

    def line(self, name: str) -> StreamerEntry:
        """A streamer as the module wants it; one that is no longer listed has left."""
        value = self.streamers.get(name)
        if value is None:
            return self._gone[name]
        standing = StreamerStatus.LEAVING if name in self.drains else StreamerStatus.ACTIVE
        cell, rack = value.cell or name, value.rack or name
        started = self.started[name]
        return StreamerEntry(name, value.zone, value.kind, name, cell, rack, standing, value.weight, started)

    def lines(self, names: Iterable[str]) -> tuple[StreamerEntry, ...]:
        """The lines of some streamers; those that have left are forgotten with it."""
        found = tuple(self.line(name) for name in sorted(names))
        for line in found:
            self._gone.pop(line.streamer, None)
        return found

    def whole(self) -> tuple[StreamerEntry, ...]:
        """The whole list."""
        self._gone.clear()
        return self.lines(self.streamers)

    def addresses(self, names: Iterable[str]) -> dict[str, tuple[str, int]]:
        """Where some streamers are reached, those that are listed."""
        return {name: self.streamers[name].address for name in names if name in self.streamers}
