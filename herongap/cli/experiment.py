"""The command `experiment`: settings, policies and versions compared on the same simulated days."""

import json
import os
import sys
import time
from pathlib import Path

import click

from herongap.cli.errors import command_failure
from herongap.ini import ConfigFileError

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
# Deviation of the service in rehearsals from the model beside chance, over five days:
# docs/results/front.md, "Beside loopback", first table.
MODEL_DEVIATION = 0.007
FOLDER = click.Path(file_okay=False, path_type=Path)
STORE = click.option(
    "--store",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File of results. Default: FILE with the suffix .results.",
)


@click.group()
def experiment() -> None:
    """Compare settings, policies and versions of the module on the fleet model. All figures are simulated."""


def _open(file: Path, store: Path | None):
    from herongap.fleet.experiment import read_experiment
    from herongap.fleet.result_store import ResultStore

    try:
        return read_experiment(file), ResultStore(store or file.with_suffix(".results"))
    except (ConfigFileError, ValueError) as error:
        raise command_failure(error) from error


def _bounds(plan, arms) -> list:
    from herongap.fleet.bound import bound
    from herongap.fleet.day import read_day, script

    day = read_day(Path(arms[0].day))
    return [bound(day, script(day, seed)) for seed in range(plan.seed, plan.seed + plan.bound_days)]


@experiment.command()
@click.argument("file", type=FILE)
@STORE
@click.option(
    "--workers", default=os.cpu_count(), show_default="all cores", help="The figures do not depend on it."
)
@click.option("--report", "folder", type=FOLDER, help="Write an HTML page and plots here.")
def run(file: Path, store: Path | None, workers: int, folder: Path | None) -> None:
    """Run the experiment FILE (INI) until its intervals are narrow enough or all its days have been run.

    Results are stored, and a run that was killed continues where it stopped (`resume` is the same command).
    Exit code 1 if an arm violated a rule.
    """
    from herongap.fleet import html_report
    from herongap.fleet.runner import run as run_all

    experiment_file, result_store = _open(file, store)
    started_at = time.monotonic()

    def progress(done: int, of: int) -> None:
        click.echo(
            f"\r{done} of {of} days of this batch, {time.monotonic() - started_at:.0f} s ",
            err=True,
            nl=done == of,
        )

    results = run_all(experiment_file, result_store, workers, progress)
    bounds = _bounds(experiment_file.plan, experiment_file.arms)
    rows = html_report.table(experiment_file, results)
    click.echo("\n".join(html_report.text(rows, bounds)))
    if folder:
        click.echo(f"page: {html_report.write(folder, experiment_file, results, bounds)}")
    result_store.close()
    sys.exit(1 if any(row.broken for row in rows) else 0)


experiment.add_command(run, "resume")


@experiment.command()
@click.argument("file", type=FILE)
@STORE
@click.argument("folder", type=FOLDER)
def report(file: Path, store: Path | None, folder: Path) -> None:
    """Write an HTML report of the results of FILE so far to FOLDER."""
    from herongap.fleet import html_report

    experiment_file, result_store = _open(file, store)
    results: dict[str, list[dict]] = {arm.name: [] for arm in experiment_file.arms}
    for seed in range(experiment_file.plan.seed, experiment_file.plan.seed + experiment_file.plan.most):
        found = {arm.name: result_store.get(arm.digest(), seed) for arm in experiment_file.arms}
        if None in found.values():
            break
        for name, result in found.items():
            results[name].append(result)
    if len(results[experiment_file.arms[0].name]) < 2:
        raise click.ClickException("fewer than two days have been run; see `herongap experiment run`")
    click.echo(
        html_report.write(
            folder, experiment_file, results, _bounds(experiment_file.plan, experiment_file.arms)
        )
    )


@experiment.command()
@click.argument("days", nargs=-1, required=True, type=FILE)
@click.option("--pairs", default=8, show_default=True, help="How many seeds.")
@click.option("--policy", default="herongap", show_default=True)
def compare(days: tuple[Path, ...], pairs: int, policy: str) -> None:
    """Compare day files, such as two settings of a deployment, seed by seed; the first is the control."""
    from herongap.fleet import html_report
    from herongap.fleet.experiment import PACKAGE_FOLDER, Arm, Experiment, Plan, run_job

    arms = tuple(
        Arm(day.name, policy, str(PACKAGE_FOLDER / "rules"), (), str(day.resolve()), 0) for day in days
    )
    plan = Plan(day=str(days[0]), least=max(2, pairs), most=max(2, pairs))
    try:
        results = {arm.name: [run_job(arm, seed) for seed in range(1, plan.most + 1)] for arm in arms}
    except ConfigFileError as error:
        raise command_failure(error) from error
    click.echo("\n".join(html_report.text(html_report.table(Experiment(plan, arms), results), [])))


@experiment.command()
@click.argument("day", type=FILE)
@click.option("--seeds", default="1", show_default=True, help="Seeds, separated by commas.")
@click.option("--policy", default="herongap", show_default=True)
@click.option("--plays", default=8, show_default=True, type=click.IntRange(min=3))
@click.option("--confidence", default=0.95, show_default=True, type=click.FloatRange(0.5, 0.999))
@click.option(
    "--stray",
    default=MODEL_DEVIATION,
    show_default=True,
    help="Deviation of rehearsals from the model beside chance.",
)
@click.option("--workers", default=os.cpu_count(), show_default="all cores")
@click.option("--json", "as_json", is_flag=True, help="One JSON object for each seed.")
def estimate(day, seeds, policy, plays, confidence, stray, workers, as_json) -> None:
    """Estimate the service of one run of DAY, with the interval in which a single rehearsal is expected.

    Each seed's day is run several times with other random numbers for its controllers. The further deviation
    of a rehearsal (the machine, TCP, what the model leaves out) is that of five days of the bad day.
    """
    from herongap.fleet.baselines import POLICIES
    from herongap.fleet.compare import prediction_interval
    from herongap.fleet.experiment import PACKAGE_FOLDER, Arm
    from herongap.fleet.runner import run_repeatedly

    if policy not in POLICIES:
        raise click.UsageError(f"--policy is one of {', '.join(POLICIES)}")
    arm = Arm(day.name, policy, str(PACKAGE_FOLDER / "rules"), (), str(day.resolve()), 0)
    try:
        for seed in map(int, seeds.split(",")):
            results = run_repeatedly(arm, seed, plays, workers)
            prediction = prediction_interval([r["service"] for r in results], confidence, stray)
            if as_json:
                click.echo(json.dumps({"seed": seed, "policy": policy, **prediction._asdict()}))
            else:
                click.echo(
                    f"seed {seed}: service {prediction.mean:.3f}, "
                    f"one play {prediction.low:.3f} to {prediction.high:.3f}"
                )
    except (ConfigFileError, ValueError) as error:
        raise command_failure(error) from error


@experiment.command()
@click.argument("record", type=FILE)
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="A PNG of the fits.")
def fit(record: Path, plot: Path | None) -> None:
    """Estimate arrivals, lengths, popularity and set-up times from RECORD; prints sections of a day file."""
    from herongap.fleet.fit import FAMILIES, day_text, fit_record
    from herongap.host import RecordError

    try:
        with open(record, "rb") as lines:
            fitted = fit_record(lines)
    except (RecordError, ValueError) as error:
        raise command_failure(error, f"{record}: ") from error
    click.echo(
        f"; {fitted.viewings} viewings in {fitted.seconds:.1f} s, "
        f"deviation of gaps over their mean {fitted.burstiness:.2f}"
    )
    click.echo(f"; popularity {fitted.popularity:.3f} +- {fitted.popularity_error:.3f} (one standard error)")
    for q in fitted.quantities:
        goodness = f"KS distance {q.distance:.3f}, p {q.p:.3f}, n {q.count}"
        click.echo(f"; {q.name}: {q.family}, mean {q.mean:.4f} s, {goodness}")
    click.echo(day_text(fitted), nl=False)
    if plot:
        import matplotlib

        matplotlib.use("Agg")
        import matplotlib.pyplot as plt
        import numpy as np

        figure, all_axes = plt.subplots(1, max(1, len(fitted.quantities)), figsize=(12, 3.5), squeeze=False)
        for axes, q in zip(all_axes[0], fitted.quantities, strict=False):
            values = np.sort(fitted.samples[q.name])
            axes.step(values, np.arange(1, len(values) + 1) / len(values), label="record")
            axes.plot(values, FAMILIES[q.family].cdf(values, *q.parameters), label=q.family)
            axes.set(title=q.name, xlabel="seconds")
            axes.legend(frameon=False)
        figure.savefig(plot, dpi=110, bbox_inches="tight")
