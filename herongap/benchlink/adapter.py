"""Turns each event of the wire into one call on its instance, and each decision into one message."""

import json

from herongap.benchlink import codec
from herongap.errors import UnusableInputError
from herongap.interface import EndReason
from herongap.platform.deployment import deployment_config
from herongap.rules import Controller

LIST_KINDS = {"Partial": "changes", "Complete": "whole", "Persisted": "remembered", "Error": "failed"}


class MalformedInputError(UnusableInputError):
    """Input that cannot be parsed."""

    advice = "see what writes to this process; the adapter ends"


def note_call(fields: dict):
    """Return the call that a note's kind stands for; unknown kinds are ignored."""
    calls = {
        1: ("share_told", fields["Streamer"]),
        2: ("rung_told", fields["Ref"]),
        3: ("load_told", fields["Streamer"], False, fields["Ref"]),
        4: ("load_told", fields["Streamer"], True, fields["Ref"]),
    }
    call = calls.get(fields["Sort"])
    return call and (*call, fields["Amount"])


def end_reason(fields: dict) -> EndReason:
    """Return how a tune-in, viewing or probe ended; unknown reasons are reported as UNKNOWN."""
    return codec.END_REASONS.get(fields["How"], EndReason.UNKNOWN)


# For each event, the function from its fields to a call: a method of Controller, and its arguments but `now`.
EVENT_CALLS = {
    "Begun": lambda fields: (
        "started",
        fields["Ref"],
        fields["Shot"],
        fields["Streamer"],
        fields["TimeTaken"] / 1000,
    ),
    "Answer": lambda fields: (
        "ended",
        fields["Ref"],
        fields["Shot"],
        fields["Streamer"],
        end_reason(fields),
        fields["TimeTaken"] / 1000,
        bool(fields.get("NoMore")),
        codec.parse_load(fields),
    ),
    "Change": note_call,
    "Abandoned": lambda fields: ("left", fields["Ref"]),
    "Ring": lambda fields: ("woke",),
    "Checked": lambda fields: (
        "probed",
        fields["Streamer"],
        end_reason(fields),
        fields["TimeTaken"] / 1000,
        codec.parse_load(fields),
    ),
    "Whisper": lambda fields: ("heard", fields["OriginPeer"], bytes.fromhex(fields["Contents"])),
}


class BenchAdapter:
    """All instances of one process; they share nothing but this reader."""

    def __init__(self, out):
        self.out = out
        self.controllers: dict[str, Controller] = {}
        self.dimensions: dict[str, tuple[int, int]] = {}  # cells and racks of each instance's deployment
        # The elements of each list, and the entries made of them for each number of racks.
        self.lists: dict[int, tuple[list[dict], dict[int, tuple]]] = {}
        self.now = 0.0

    def serve(self, lines) -> None:
        """Process the input to its end; each batch gets one reply. Raises MalformedInputError."""
        touched: dict[str, None] = {}
        replies: list[str] = []
        for line in lines:
            if not line.strip():
                continue
            try:
                ((name, fields),) = json.loads(line).items()
                if name == "Turn":
                    self.now = fields["Moment"] / 1000
                elif name == "YourTurn":
                    self.reply(touched, replies)
                    touched, replies = {}, []
                else:
                    call = self.parse_event(name, fields)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                text = line[:200].decode(errors="replace").strip()
                raise MalformedInputError(f"cannot read {text!r}: {error!r}") from error
            if name not in ("Turn", "YourTurn", "List"):
                self.call_instance(fields["I"], name, call, touched, replies)

    def parse_event(self, name: str, fields: dict):
        """Return the call that an event stands for, or None."""
        if name == "List":
            self.lists[fields["RosterId"]] = fields["Elements"], {}
            return None
        if name not in EVENT_CALLS and name not in ("Spawn", "Retire", "PeersKnown", "WorkItem", "Handover"):
            raise MalformedInputError(f"unknown message {name!r}")
        instance = fields["I"]
        if name == "Spawn":
            info = fields["Conf"]["FamilyInfo"]
            self.dimensions[instance] = int(info["Places"]), max(1, int(info["Racks"]))
            return ("__init__", fields["Seed"], deployment_config(fields["Conf"]))
        if name == "Retire":
            return None
        if instance not in self.controllers:
            raise MalformedInputError(f"instance {instance!r} was never started")
        if name == "WorkItem":
            return ("asked", codec.parse_request(fields, self.dimensions[instance][0]))
        if name == "Handover":
            return ("handed", codec.parse_request(fields, self.dimensions[instance][0]), fields["Streamer"])
        if name == "PeersKnown":
            kind = LIST_KINDS[fields["How"]]
            return ("listed", kind, self.entries(fields["RosterId"], instance) if kind != "failed" else ())
        return EVENT_CALLS[name](fields)

    def entries(self, list_id: int, instance: str) -> tuple:
        """Return the entries of a list, which are made once for all instances with as many racks."""
        elements, entries_by_racks = self.lists[list_id]
        racks = self.dimensions[instance][1]
        if racks not in entries_by_racks:
            entries_by_racks[racks] = tuple(codec.parse_entry(element, racks) for element in elements)
        return entries_by_racks[racks]

    def call_instance(self, instance: str, name: str, call, touched: dict, replies: list[str]) -> None:
        """Make one call; an exception of the deciding module is reported for that instance."""
        if name == "Retire":
            self.controllers.pop(instance, None)
            touched.pop(instance, None)
            return
        touched[instance] = None
        try:
            if name == "Spawn":
                self.controllers[instance] = Controller(self.now, *call[1:])
            elif call:
                getattr(self.controllers[instance], call[0])(self.now, *call[1:])
        except Exception as error:
            replies.append(json.dumps({"Panic": {"I": instance, "Words": f"{name}: {error!r}"}}))

    def reply(self, touched: dict, replies: list[str]) -> None:
        """Pull the decisions of each instance that had an event, and write them."""
        for instance in touched:
            try:
                while (
                    instance in self.controllers
                    and (decision := self.controllers[instance].decide(self.now)) is not None
                ):
                    name, fields = codec.DECISION_ENCODERS[decision[0]](*decision[1:])
                    replies.append(json.dumps({name: {"I": instance, **fields}}))
            except Exception as error:
                replies.append(json.dumps({"Panic": {"I": instance, "Words": f"decide: {error!r}"}}))
        replies.append('{"Ready":{}}')
        self.out.write(("\n".join(replies) + "\n").encode())
        self.out.flush()
