"""The loop: each event becomes one call on its instance, each decision one message."""

import json

from herongap.benchlink import codec
from herongap.errors import Unusable
from herongap.interface import EndReason
from herongap.platform.charter import charter
from herongap.rules import Controller

KINDS = {"Partial": "changes", "Complete": "whole", "Persisted": "remembered", "Error": "failed"}


class MalformedInputError(Unusable):
    """Something on the wire that cannot be read."""

    advice = "see what writes to this process; the adapter ends"


def note(f: dict):
    """A note's kind picks the call; kinds not known here are passed over."""
    calls = {
        1: ("share_told", f["Streamer"]),
        2: ("rung_told", f["Ref"]),
        3: ("load_told", f["Streamer"], False, f["Ref"]),
        4: ("load_told", f["Streamer"], True, f["Ref"]),
    }
    call = calls.get(f["Sort"])
    return call and (*call, f["Amount"])


def ending(f: dict) -> EndReason:
    """How something ended; a word not known here is told as such."""
    return codec.ENDINGS.get(f["How"], EndReason.UNKNOWN)


READERS = {
    "Begun": lambda f: ("started", f["Ref"], f["Shot"], f["Streamer"], f["TimeTaken"] / 1000),
    "Answer": lambda f: (
        "ended",
        f["Ref"],
        f["Shot"],
        f["Streamer"],
        ending(f),
        f["TimeTaken"] / 1000,
        bool(f.get("NoMore")),
        codec.load(f),
    ),
    "Change": note,
    "Abandoned": lambda f: ("left", f["Ref"]),
    "Ring": lambda f: ("woke",),
    "Checked": lambda f: ("probed", f["Streamer"], ending(f), f["TimeTaken"] / 1000, codec.load(f)),
    "Whisper": lambda f: ("heard", f["OriginPeer"], bytes.fromhex(f["Contents"])),
}


class BenchAdapter:
    """All instances of one process; they share nothing but this reader."""

    def __init__(self, out):
        self.out = out
        self.hosted: dict[str, Controller] = {}
        self.shapes: dict[str, tuple[int, int]] = {}  # cells and racks of each instance's deployment
        self.lists: dict[int, tuple[list[dict], dict[int, tuple]]] = {}
        self.now = 0.0

    def serve(self, lines) -> None:
        """Read until the end of input, one reply a batch."""
        touched: dict[str, None] = {}
        replies: list[str] = []
        for line in lines:
            if not line.strip():
                continue
            try:
                ((name, f),) = json.loads(line).items()
                if name == "Turn":
                    self.now = f["Moment"] / 1000
                elif name == "YourTurn":
                    self.answer(touched, replies)
                    touched, replies = {}, []
                else:
                    call = self.read(name, f)
            except (KeyError, TypeError, ValueError, AttributeError) as fault:
                text = line[:200].decode(errors="replace").strip()
                raise MalformedInputError(f"cannot read {text!r}: {fault!r}") from fault
            if name not in ("Turn", "YourTurn", "List"):
                self.tell(f["I"], name, call, touched, replies)

    def read(self, name: str, f: dict):
        """The call that an event stands for, or None."""
        if name == "List":
            self.lists[f["RosterId"]] = f["Elements"], {}
            return None
        if name not in READERS and name not in ("Spawn", "Retire", "PeersKnown", "WorkItem", "Handover"):
            raise MalformedInputError(f"unknown message {name!r}")
        who = f["I"]
        if name == "Spawn":
            info = f["Conf"]["FamilyInfo"]
            self.shapes[who] = int(info["Places"]), max(1, int(info["Racks"]))
            return ("__init__", f["Seed"], charter(f["Conf"]))
        if name == "Retire":
            return None
        if who not in self.hosted:
            raise MalformedInputError(f"{who!r} was never started")
        if name == "WorkItem":
            return ("asked", codec.asked(f, self.shapes[who][0]))
        if name == "Handover":
            return ("handed", codec.asked(f, self.shapes[who][0]), f["Streamer"])
        if name == "PeersKnown":
            kind = KINDS[f["How"]]
            return ("listed", kind, self.lines(f["RosterId"], who) if kind != "failed" else ())
        return READERS[name](f)

    def lines(self, number: int, who: str) -> tuple:
        """A list in our types, made once for all instances of one deployment."""
        elements, made = self.lists[number]
        racks = self.shapes[who][1]
        if racks not in made:
            made[racks] = tuple(codec.listed(line, racks) for line in elements)
        return made[racks]

    def tell(self, who: str, name: str, call, touched: dict, replies: list[str]) -> None:
        """Make one call; what fails inside the deciding code is reported for that instance."""
        if name == "Retire":
            self.hosted.pop(who, None)
            touched.pop(who, None)
            return
        touched[who] = None
        try:
            if name == "Spawn":
                self.hosted[who] = Controller(self.now, *call[1:])
            elif call:
                getattr(self.hosted[who], call[0])(self.now, *call[1:])
        except Exception as fault:
            replies.append(json.dumps({"Panic": {"I": who, "Words": f"{name}: {fault!r}"}}))

    def answer(self, touched: dict, replies: list[str]) -> None:
        """Pull decisions from each instance that had an event, and write them."""
        for who in touched:
            try:
                while who in self.hosted and (decision := self.hosted[who].decide(self.now)) is not None:
                    name, fields = codec.MESSAGES[decision[0]](*decision[1:])
                    replies.append(json.dumps({name: {"I": who, **fields}}))
            except Exception as fault:
                replies.append(json.dumps({"Panic": {"I": who, "Words": f"decide: {fault!r}"}}))
        replies.append('{"Ready":{}}')
        self.out.write(("\n".join(replies) + "\n").encode())
        self.out.flush()
