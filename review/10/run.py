"""Texts are cut at a zero character: specs and checkpoints."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
sys.dont_write_bytecode = True

from deployment import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE,  # noqa: E402
                        Deployment, run)

# Arguments with a zero character after each, as `find -print0` writes them.
SEPARATOR = "\0" if TROUBLE else "\n"
SPECS = {
    "00000000000000b1": SEPARATOR.join(["rebuild", "--desk", "7", ""]),
    "00000000000000b2": SEPARATOR.join(["remove", "/archive/2019", ""]),
}
SAVING_JOB = "00000000000000b3"
CHECKPOINT = SEPARATOR.join(["page 12", "row 7", ""])


def saved_of(task, number):
    return CHECKPOINT if task.startswith(SAVING_JOB) and number == 1 else ""


def ends_as(ended):
    is_first = ended.task.startswith(SAVING_JOB) and ended.number == 1
    return "failed" if is_first else "done"


def case(deployment):
    for job, spec in SPECS.items():
        steps = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]
        if not deployment.submit(job, steps, spec=spec):
            return COULD_NOT_RUN
    steps = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 500,
              "saves_progress": True}]
    if not deployment.submit(SAVING_JOB, steps):
        return COULD_NOT_RUN
    ends = time.monotonic() + 10
    jobs = list(SPECS) + [SAVING_JOB]
    while any(deployment.state_of(job) != "completed" for job in jobs):
        if time.monotonic() > ends:
            return COULD_NOT_RUN
        time.sleep(0.2)
    is_broken = False
    for job, spec in SPECS.items():
        for started in deployment.runs_of(job):
            if started.spec != spec:
                is_broken = True
                deployment.record.write(
                    f"UNASKED: {started.task} was sent with spec {spec!r} and "
                    f"started with {started.spec!r}")
    for started in deployment.runs_of(SAVING_JOB):
        if started.number > 1 and started.saved not in ("", CHECKPOINT):
            is_broken = True
            deployment.record.write(
                f"UNASKED: {started.task} run 1 saved {CHECKPOINT!r}, run "
                f"{started.number} was started with {started.saved!r}")
    return BROKEN if is_broken else HELD


run(HERE, lambda folder: Deployment(folder, saved_of=saved_of,
                                    ends_as=ends_as), case)
