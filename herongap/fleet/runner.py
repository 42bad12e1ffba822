"""Runs an experiment's jobs over processes and keeps what came of them."""

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool

from herongap.fleet.arms import Arm, Experiment, job
from herongap.fleet.compare import wanted
from herongap.fleet.result_store import ResultStore

TRIES = 5  # times that the workers may die before the experiment does


def run(
    experiment: Experiment,
    store: ResultStore,
    workers: int,
    progress: Callable[[int, int], None] | None = None,
) -> dict[str, list[dict]]:
    """All results by arm, in the order of seeds. The same for any number of workers, and after any kill.

    How many days are run is decided after whole batches, from results in the order of their seeds, never from
    which worker was faster.
    """
    plan = experiment.plan
    results: dict[str, list[dict]] = {arm.name: [] for arm in experiment.arms}
    while days := wanted({n: [r["service"] for r in rs] for n, rs in results.items()}, plan):
        have = len(next(iter(results.values())))
        seeds = range(plan.seed + have, plan.seed + days)
        _fill(experiment.arms, seeds, store, workers, progress)
        for arm in experiment.arms:
            results[arm.name] += [store.get(arm.digest(), seed) for seed in seeds]
    return results


def _fill(arms: tuple[Arm, ...], seeds: range, store: ResultStore, workers: int, progress) -> None:
    """Have a result in the store for every arm and seed."""
    digests = {arm.name: arm.digest() for arm in arms}
    every = [(arm, seed) for seed in seeds for arm in arms]
    for tried in range(TRIES):
        missing = [(arm, seed) for arm, seed in every if store.get(digests[arm.name], seed) is None]
        done = len(every) - len(missing)
        try:
            for arm, seed, result in _results(missing, workers):
                store.put(digests[arm.name], seed, result)
                done += 1
                if progress:
                    progress(done, len(every))
            return
        except BrokenProcessPool:
            # A worker was killed. What was done is kept; the rest is run again by new ones.
            if tried == TRIES - 1:
                raise


def plays(arm: Arm, seed: int, count: int, workers: int) -> list[dict]:
    """The same day played `count` times, other luck for its controllers each time; in the order of luck."""
    jobs = [(arm._replace(luck=luck), seed) for luck in range(count)]
    found = {played.luck: result for played, _, result in _results(jobs, workers)}
    return [found[luck] for luck in range(count)]


def _results(jobs: list[tuple[Arm, int]], workers: int) -> Iterator[tuple[Arm, int, dict]]:
    """Each job's result as it comes, in any order."""
    if workers == 1 or len(jobs) < 2:
        for arm, seed in jobs:
            yield arm, seed, job(arm, seed)
        return
    # Spawned, not forked: a worker then has nothing of this process that a day could depend on.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(workers, len(jobs)), mp_context=context) as pool:
        pending = {pool.submit(job, arm, seed): (arm, seed) for arm, seed in jobs}
        for future in as_completed(pending):
            yield *pending[future], future.result()
