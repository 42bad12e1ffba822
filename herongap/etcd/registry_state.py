"""The meaning of the stored keys: streamers, drains and live controllers. Decides without I/O.

An invalid value is rejected on its own and reported by its key, and the last valid value of the same key
stays in use. A drain takes effect by its key alone, whatever its value. A streamer whose key was created anew
has been restarted and counts as cold.
"""

from collections.abc import Iterable

from herongap.etcd.follower import KeyChange, KeyEntry
from herongap.etcd.keys import InvalidValueError, StreamerValue, decode_value, split_key
from herongap.interface import StreamerEntry, StreamerStatus


class RegistryState:
    """Streamers, drains and controllers under a prefix.

    `epoch` is the host clock's reading at the Unix epoch, in which streamers state their start time.
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
        """Apply changes of keys; returns the streamers whose entries have changed.

        `first` means that nothing was known before, so a streamer found now may have been running for long.
        """
        touched = set()
        for change in changes:
            kind_and_name = split_key(self.prefix, change.key)
            if kind_and_name is None:
                continue
            kind, name = kind_and_name
            self.bad_values.pop(change.key, None)
            if kind == "streamers":
                if change.new is None:
                    self._remove_streamer(name)
                else:
                    self._apply_streamer(now, name, change, first)
                touched.add(name)
            elif kind == "drains":
                self._apply_drain(name, change)
                touched.add(name)
            else:
                self._apply_controller(name, change)
        return {name for name in touched if name in self.streamers or name in self._removed}

    def _apply_streamer(self, now: float, name: str, change: KeyChange, first: bool) -> None:
        created = change.old is None or change.recreated
        try:
            value = self._decode("streamers", change.key, change.new)
        except InvalidValueError:
            # The last valid value still describes the same process, but says nothing about a new one.
            if created:
                self._remove_streamer(name)
            return
        started_at = self.started_at.get(name)
        if value.started is not None:
            started_at = value.started + self.epoch
        elif created and not first:
            started_at = now
        self.streamers[name], self.started_at[name] = value, started_at
        self._removed.pop(name, None)

    def _apply_drain(self, name: str, change: KeyChange) -> None:
        if change.new is None:
            self.drains.discard(name)
            return
        self.drains.add(name)
        try:
            self._decode("drains", change.key, change.new)
        except InvalidValueError:
            return  # listed in `bad_values`, and drained all the same: to send work there would be worse

    def _apply_controller(self, name: str, change: KeyChange) -> None:
        if not (name.isascii() and name.isdigit()):
            self.bad_values[change.key] = "not a controller's number"
            return
        self.controllers.pop(int(name), None)
        if change.new is None:
            return
        try:
            self.controllers[int(name)] = self._decode("controllers", change.key, change.new).name
        except InvalidValueError:
            # The number is held, whatever the name: the controller counts as live.
            self.controllers[int(name)] = ""

    def _decode(self, kind: str, key: str, entry: KeyEntry):
        try:
            return decode_value(kind, entry.value)
        except InvalidValueError as error:
            self.bad_values[key] = str(error)
            raise

    def _remove_streamer(self, name: str) -> None:
        if name in self.streamers:
            self._removed[name] = self.entry(name)._replace(status=StreamerStatus.LEFT)
            del self.streamers[name], self.started_at[name]

    def entry(self, name: str) -> StreamerEntry:
        """A streamer's entry as the module takes it; a removed streamer has status LEFT."""
        value = self.streamers.get(name)
        if value is None:
            return self._removed[name]
        status = StreamerStatus.LEAVING if name in self.drains else StreamerStatus.ACTIVE
        cell, rack = value.cell or name, value.rack or name
        started_at = self.started_at[name]
        return StreamerEntry(name, value.zone, value.kind, name, cell, rack, status, value.weight, started_at)

    def entries(self, names: Iterable[str]) -> tuple[StreamerEntry, ...]:
        """The entries of some streamers; removed ones among them are forgotten after this call."""
        found = tuple(self.entry(name) for name in sorted(names))
        for entry in found:
            self._removed.pop(entry.streamer, None)
        return found

    def all_entries(self) -> tuple[StreamerEntry, ...]:
        """The entries of all present streamers; removed ones are forgotten."""
        self._removed.clear()
        return self.entries(self.streamers)

    def addresses(self, names: Iterable[str]) -> dict[str, tuple[str, int]]:
        """The network addresses of those of the given streamers that are present."""
        return {name: self.streamers[name].address for name in names if name in self.streamers}
