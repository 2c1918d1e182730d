"""Encoding of the progress of a job for its row.

The progress of a small job is a list of names, as all versions of the program store it. That of a
large job is packed, since the names would not fit in one row.
"""

import zlib
from collections.abc import Iterator
from itertools import takewhile

import msgpack
from attrs import frozen

from fireflydeck.core.typed_values import mistyped_fields
from fireflydeck.workload.lifecycle import Job

__all__ = ["JobProgress", "decode_progress", "encode_progress"]

_MAX_NAMED_TASKS = 500
"""Largest number of tasks whose names are listed."""
_BITS_PER_BYTE = 8


@frozen
class JobProgress:
    """Stored progress of a job.

    Parameters
    ----------
    done
        Names of the tasks that are done, except those of `done_occurrences`.
    failed_runs
        Numbers of the failed runs, by name of the task.
    done_occurrences
        Number of leading occurrences whose tasks are all done.
    """

    done: list[str]
    failed_runs: dict[str, list[int]]
    done_occurrences: int = 0


def encode_progress(job: Job) -> bytes:
    """Encode the progress of a job; the job's id is removed from the names of the tasks."""
    prefix = len(job.id)
    failed_runs = {
        task.name[prefix:]: sorted(task.failed_runs)
        for task in job.tasks.values()
        if task.failed_runs and not task.done
    }
    if len(job.tasks) <= _MAX_NAMED_TASKS:
        done = [task.name[prefix:] for task in job.tasks.values() if task.done]
        return msgpack.packb([done, failed_runs])
    done_occurrences = _done_occurrences(job)
    packed = msgpack.packb([done_occurrences, _done_bits(job, done_occurrences), failed_runs])
    return msgpack.packb([zlib.compress(packed), {}])


def decode_progress(job_id: str, content: bytes) -> JobProgress:
    """Decode the progress of a job; the job's id is added to the names of the tasks.

    Raises
    ------
    ValueError
        If the content is not the progress of a job.
    """
    try:
        done, failed_runs = msgpack.unpackb(content)
        done_occurrences = 0
        if isinstance(done, bytes):
            done_occurrences, bits, failed_runs = msgpack.unpackb(zlib.decompress(done))
            done = list(_names(bits))
        progress = JobProgress(
            [job_id + name for name in done],
            {job_id + name: runs for name, runs in failed_runs.items()},
            done_occurrences,
        )
    except (TypeError, ValueError, AttributeError, zlib.error) as error:
        raise ValueError(f"not a job's progress: {type(error).__name__}") from error
    if mistyped_fields(progress):
        raise ValueError("not a job's progress: a field is invalid")
    return progress


def _done_occurrences(job: Job) -> int:
    steps = range(len(job.spec.steps))
    return sum(
        1
        for _ in takewhile(
            lambda occurrence: not any(job.open_tasks[occurrence, step] for step in steps),
            range(job.created_occurrences),
        )
    )


def _done_bits(job: Job, first_occurrence: int) -> dict[str, bytes]:
    """Return a bit for each task that is done, by occurrence and step."""
    bits: dict[str, bytearray] = {}
    for task in job.tasks.values():
        key = task.key
        if task.done and key.occurrence >= first_occurrence:
            size = (job.spec.steps[key.step].count + _BITS_PER_BYTE - 1) // _BITS_PER_BYTE
            array = bits.setdefault(f".{key.occurrence}.{key.step}", bytearray(size))
            array[key.index // _BITS_PER_BYTE] |= 1 << key.index % _BITS_PER_BYTE
    return {name: bytes(array) for name, array in bits.items()}


def _names(bits: dict[str, bytes]) -> Iterator[str]:
    """Yield the names of the tasks whose bits are set."""
    for step, array in bits.items():
        for position, byte in enumerate(array):
            for bit in range(_BITS_PER_BYTE):
                if byte >> bit & 1:
                    yield f"{step}.{position * _BITS_PER_BYTE + bit}"
