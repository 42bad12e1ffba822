"""What is compared: an experiment's INI file, its arms, and one job, which is one day under one arm.

A job depends on nothing but its arm, its day and its seed, so its result can be kept and found again.
"""

import configparser
import hashlib
import importlib.util
import json
import sys
from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field, ValidationError

from herongap.errors import Unusable
from herongap.fleet import baselines
from herongap.fleet.checker import check
from herongap.fleet.day import Day, read_day
from herongap.fleet.figures import Outcome, report
from herongap.fleet.model import Model
from herongap.ini import Faults
from herongap.ini.parts import Part

PACKAGE_FOLDER = Path(__file__).resolve().parent.parent


class BadArm(Unusable):
    """An [arm NAME] that cannot be played."""

    advice = "correct the key that is named in the experiment file"


class Plan(Part):
    """The [experiment] section."""

    day: str
    least: Annotated[int, Field(ge=2, le=100000)] = 8
    most: Annotated[int, Field(ge=2, le=100000)] = 64
    batch: Annotated[int, Field(ge=1)] = 8
    seed: Annotated[int, Field(ge=0)] = 1
    half_width: Annotated[float, Field(gt=0, lt=1)] = 0.005
    confidence: Annotated[float, Field(gt=0.5, lt=1)] = 0.95
    bound_days: Annotated[int, Field(ge=0)] = 2


class ArmPart(Part):
    """An [arm NAME] section. `set` changes named values of the module, NAME=VALUE, separated by commas."""

    policy: str = "herongap"
    module: str = ""
    set: str = ""
    day: str = ""
    luck: Annotated[int, Field(ge=0)] = 0


class Arm(NamedTuple):
    """One arm: a policy, on a version of the module with some values changed, on a day.

    `module` is the folder of a version of the module; `luck` gives its controllers other chance on the same
    days.
    """

    name: str
    policy: str
    module: str
    values: tuple[tuple[str, float], ...]
    day: str
    luck: int

    def digest(self) -> str:
        """What the results of this arm depend on, beside the seed: its day, its module, and the model
        itself.
        """
        hashed = hashlib.sha256(json.dumps([self.policy, self.values, self.luck]).encode())
        for path in (Path(self.day), *sorted(Path(self.module).glob("*.py")), *_sources()):
            hashed.update(path.read_bytes())
        return hashed.hexdigest()[:24]


class Experiment(NamedTuple):
    """A plan and its arms; the first is what the others are compared with."""

    plan: Plan
    arms: tuple[Arm, ...]


def _sources() -> list[Path]:
    folders = ("fleet", "host", "ini")
    return [
        PACKAGE_FOLDER / "interface.py",
        *(p for f in folders for p in sorted((PACKAGE_FOLDER / f).glob("*.py"))),
    ]


def read_experiment(path: Path) -> Experiment:
    """Raises Faults with all that is wrong; paths in the file are taken from its folder."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as fault:
        raise Faults(f"{path}: {fault}") from fault
    faults: list[str] = []
    plan, parts = None, {}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        model = Plan if section == "experiment" else ArmPart if kind == "arm" and name else None
        if model is None:
            faults.append(f"{path}: [{section}]: unknown section; allowed: experiment, arm NAME")
            continue
        try:
            part = model.model_validate(dict(parser[section]))
        except ValidationError as fault:
            faults += [f"{path}: [{section}] {e['loc'][0]}: {e['msg']}" for e in fault.errors()]
            continue
        if model is Plan:
            plan = part
        else:
            parts[name] = part
    if plan is None and not faults:
        faults.append(f"{path}: [experiment]: missing")
    if len(parts) < 2 and not faults:
        faults.append(f"{path}: at least two [arm NAME] sections are needed")
    near, arms = path.resolve().parent, []
    for name, part in parts.items() if not faults else ():
        try:
            arms.append(_arm(name, part, plan, near))
        except (ValueError, OSError) as fault:
            faults.append(f"{path}: [arm {name}]: {fault}")
    if faults:
        raise Faults("\n".join(faults))
    return Experiment(plan, tuple(arms))


def _arm(name: str, part: ArmPart, plan: Plan, near: Path) -> Arm:
    if part.policy not in baselines.POLICIES:
        raise BadArm(f"policy = {part.policy}: allowed are {', '.join(baselines.POLICIES)}")
    module = near / part.module if part.module else PACKAGE_FOLDER / "rules"
    if (module / "herongap").is_dir():
        # An installed or unpacked version of the package.
        module = module / "herongap" / "rules"
    values = []
    for pair in filter(None, map(str.strip, part.set.split(","))):
        key, _, value = pair.partition("=")
        values.append((key.strip(), float(value)))
    arm = Arm(name, part.policy, str(module), tuple(values), str(near / (part.day or plan.day)), part.luck)
    read_day(Path(arm.day))
    _deciding(arm)
    return arm


def _deciding(arm: Arm) -> type:
    """The arm's deciding class, from a copy of its module that nothing else uses."""
    name, folder = f"herongap_arm_{arm.digest()}", Path(arm.module)
    if not (folder / "__init__.py").is_file():
        raise BadArm(f"module = {arm.module}: not a folder of a module")
    spec = importlib.util.spec_from_file_location(
        name, folder / "__init__.py", submodule_search_locations=[arm.module]
    )
    module = importlib.util.module_from_spec(spec)
    try:
        # Under its name while it loads, so that its files find each other; then dropped: each has its own.
        sys.modules[name] = module
        spec.loader.exec_module(module)
    finally:
        parts = [sys.modules.pop(key) for key in list(sys.modules) if key.partition(".")[0] == name]
    for key, value in arm.values:
        # A value may be named in more than the file that it stands in.
        having = [part for part in parts if isinstance(getattr(part, key, None), int | float)]
        if not having:
            raise BadArm(f"set {key}: the module has no such value")
        for part in having:
            setattr(part, key, type(getattr(part, key))(value))
    return baselines.controller_class(arm.policy, module.Controller)


def play(arm: Arm, seed: int) -> tuple[Day, Outcome, Model]:
    """One day under one arm. Chance in days is by seed alone, so arms meet the same viewers and troubles."""
    day = read_day(Path(arm.day))
    model = Model(day, seed, _deciding(arm), luck=arm.luck)
    lines = model.run()
    return day, Outcome(day, model.script, 0.0, lines), model


def run_job(arm: Arm, seed: int) -> dict:
    """One day under one arm, as what is kept of it: the report, JSON's own types alone."""
    _, outcome, model = play(arm, seed)
    told = report(outcome, check(outcome))._asdict()
    # Through JSON and back, so that a result is the same whether it was just made or read from the store.
    return json.loads(json.dumps({**told, "held_most": model.held_most}))
