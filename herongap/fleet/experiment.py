"""Experiments: their INI files, their arms, and jobs, each of which is one day under one arm.

The result of a job depends on its arm, its day and its seed alone, so it can be stored and reused.
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


class InvalidArmError(Unusable):
    """An [arm NAME] section that cannot be run."""

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


class ArmSection(Part):
    """An [arm NAME] section. `set` overrides constants of the module: NAME=VALUE, separated by commas."""

    policy: str = "herongap"
    module: str = ""
    set: str = ""
    day: str = ""
    luck: Annotated[int, Field(ge=0)] = 0


class Arm(NamedTuple):
    """One arm: a policy, a version of the deciding module with some constants overridden, and a day.

    `module` is the folder of a version of the module; `luck` changes the seed of the controllers' random
    draws on the same days.
    """

    name: str
    policy: str
    module: str
    values: tuple[tuple[str, float], ...]
    day: str
    luck: int

    def digest(self) -> str:
        """A hash of all that the results of this arm depend on, except the seed: its settings, its day, its
        module, and the sources of the model.
        """
        hashed = hashlib.sha256(json.dumps([self.policy, self.values, self.luck]).encode())
        for path in (Path(self.day), *sorted(Path(self.module).glob("*.py")), *_sources()):
            hashed.update(path.read_bytes())
        return hashed.hexdigest()[:24]


class Experiment(NamedTuple):
    """A plan and its arms; the first arm is the control."""

    plan: Plan
    arms: tuple[Arm, ...]


def _sources() -> list[Path]:
    folders = ("fleet", "host", "ini")
    return [
        PACKAGE_FOLDER / "interface.py",
        *(p for f in folders for p in sorted((PACKAGE_FOLDER / f).glob("*.py"))),
    ]


def read_experiment(path: Path) -> Experiment:
    """Reads an experiment's INI file; paths are relative to its folder. Raises Faults with all errors."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise Faults(f"{path}: {error}") from error
    errors: list[str] = []
    plan, arm_sections = None, {}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        model = Plan if section == "experiment" else ArmSection if kind == "arm" and name else None
        if model is None:
            errors.append(f"{path}: [{section}]: unknown section; allowed: experiment, arm NAME")
            continue
        try:
            parsed = model.model_validate(dict(parser[section]))
        except ValidationError as error:
            errors += [f"{path}: [{section}] {e['loc'][0]}: {e['msg']}" for e in error.errors()]
            continue
        if model is Plan:
            plan = parsed
        else:
            arm_sections[name] = parsed
    if plan is None and not errors:
        errors.append(f"{path}: [experiment]: missing")
    if len(arm_sections) < 2 and not errors:
        errors.append(f"{path}: at least two [arm NAME] sections are needed")
    folder, arms = path.resolve().parent, []
    for name, section in arm_sections.items() if not errors else ():
        try:
            arms.append(_arm(name, section, plan, folder))
        except (ValueError, OSError) as error:
            errors.append(f"{path}: [arm {name}]: {error}")
    if errors:
        raise Faults("\n".join(errors))
    return Experiment(plan, tuple(arms))


def _arm(name: str, section: ArmSection, plan: Plan, folder: Path) -> Arm:
    if section.policy not in baselines.POLICIES:
        raise InvalidArmError(f"policy = {section.policy}: allowed are {', '.join(baselines.POLICIES)}")
    module = folder / section.module if section.module else PACKAGE_FOLDER / "rules"
    if (module / "herongap").is_dir():
        # The folder of an installed or unpacked version of the package.
        module = module / "herongap" / "rules"
    values = []
    for pair in filter(None, map(str.strip, section.set.split(","))):
        key, _, value = pair.partition("=")
        values.append((key.strip(), float(value)))
    arm = Arm(
        name,
        section.policy,
        str(module),
        tuple(values),
        str(folder / (section.day or plan.day)),
        section.luck,
    )
    read_day(Path(arm.day))
    _load_controller_class(arm)
    return arm


def _load_controller_class(arm: Arm) -> type:
    """The arm's deciding class, from a copy of its module that no other arm uses."""
    name, folder = f"herongap_arm_{arm.digest()}", Path(arm.module)
    if not (folder / "__init__.py").is_file():
        raise InvalidArmError(f"module = {arm.module}: not the folder of a module")
    spec = importlib.util.spec_from_file_location(
        name, folder / "__init__.py", submodule_search_locations=[arm.module]
    )
    module = importlib.util.module_from_spec(spec)
    try:
        # The module is registered only while it loads, so that its files can import each other.
        sys.modules[name] = module
        spec.loader.exec_module(module)
    finally:
        loaded = [sys.modules.pop(key) for key in list(sys.modules) if key.partition(".")[0] == name]
    for key, value in arm.values:
        # A constant may be imported by more files than the one that defines it.
        holders = [part for part in loaded if isinstance(getattr(part, key, None), int | float)]
        if not holders:
            raise InvalidArmError(f"set {key}: the module has no such value")
        for part in holders:
            setattr(part, key, type(getattr(part, key))(value))
    return baselines.controller_class(arm.policy, module.Controller)


def simulate_day(arm: Arm, seed: int) -> tuple[Day, Outcome, Model]:
    """Simulates one day under one arm. All arms get the same viewers and troubles for a seed."""
    day = read_day(Path(arm.day))
    model = Model(day, seed, _load_controller_class(arm), luck=arm.luck)
    lines = model.run()
    return day, Outcome(day, model.script, 0.0, lines), model


def run_job(arm: Arm, seed: int) -> dict:
    """Simulates one day under one arm and returns its report, in types of JSON."""
    _, outcome, model = simulate_day(arm, seed)
    report_fields = report(outcome, check(outcome))._asdict()
    # Through JSON and back, so that a new result equals the same result read from the store.
    return json.loads(json.dumps({**report_fields, "held_most": model.held_most}))
