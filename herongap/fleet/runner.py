"""Runs the jobs of an experiment in worker processes and stores their results."""

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool

from herongap.fleet.compare import days_needed
from herongap.fleet.experiment import Arm, Experiment, run_job
from herongap.fleet.result_store import ResultStore

# Times that the workers are started before the death of one ends the experiment.
MAX_ATTEMPTS = 5


def run(
    experiment: Experiment,
    store: ResultStore,
    workers: int,
    progress: Callable[[int, int], None] | None = None,
) -> dict[str, list[dict]]:
    """All results by arm, in the order of seeds; the same for any number of workers and after interruptions.

    How many days are run is decided after complete batches, from the results in the order of their seeds, and
    so does not depend on the speed of the workers.
    """
    plan = experiment.plan
    results: dict[str, list[dict]] = {arm.name: [] for arm in experiment.arms}
    while days := days_needed({n: [r["service"] for r in rs] for n, rs in results.items()}, plan):
        days_done = len(next(iter(results.values())))
        seeds = range(plan.seed + days_done, plan.seed + days)
        _fill(experiment.arms, seeds, store, workers, progress)
        for arm in experiment.arms:
            results[arm.name] += [store.get(arm.digest(), seed) for seed in seeds]
    return results


def _fill(arms: tuple[Arm, ...], seeds: range, store: ResultStore, workers: int, progress) -> None:
    """Runs the jobs whose results are not in the store yet."""
    digests = {arm.name: arm.digest() for arm in arms}
    all_jobs = [(arm, seed) for seed in seeds for arm in arms]
    for attempt in range(MAX_ATTEMPTS):
        missing = [(arm, seed) for arm, seed in all_jobs if store.get(digests[arm.name], seed) is None]
        done = len(all_jobs) - len(missing)
        try:
            for arm, seed, result in _results(missing, workers):
                store.put(digests[arm.name], seed, result)
                done += 1
                if progress:
                    progress(done, len(all_jobs))
            return
        except BrokenProcessPool:
            # A worker was killed. Finished results are stored; new workers run the rest.
            if attempt == MAX_ATTEMPTS - 1:
                raise


def run_repeatedly(arm: Arm, seed: int, count: int, workers: int) -> list[dict]:
    """Results of the same day run `count` times with different `luck`, in the order of `luck`."""
    jobs = [(arm._replace(luck=luck), seed) for luck in range(count)]
    by_luck = {arm.luck: result for arm, _, result in _results(jobs, workers)}
    return [by_luck[luck] for luck in range(count)]


def _results(jobs: list[tuple[Arm, int]], workers: int) -> Iterator[tuple[Arm, int, dict]]:
    """The result of each job as it completes, in any order."""
    if workers == 1 or len(jobs) < 2:
        for arm, seed in jobs:
            yield arm, seed, run_job(arm, seed)
        return
    # Spawned, not forked, so that a day cannot depend on the state of this process.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(workers, len(jobs)), mp_context=context) as pool:
        pending = {pool.submit(run_job, arm, seed): (arm, seed) for arm, seed in jobs}
        for future in as_completed(pending):
            yield *pending[future], future.result()
