"""A heartbeat of another writer ends runs that go on."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
sys.dont_write_bytecode = True

from deployment import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE,  # noqa: E402
                        Deployment, call, run)

JOB = "5c0e7a21d94b36f8"
TASK_SECONDS = 14
# Leaders know all lives of a machine after this long.
TRACKED_SECONDS = 4


def foreign_heartbeat(machine):
    """A heartbeat of a program that serves another fleet on this machine: an
    id, a start and a count of its own, and a service that isn't named here."""
    return {
        "service": "another-fleet", "address": "127.0.0.1:9100",
        "zone": "galway-a", "version": "v9", "capacity": 8, "state": "ready",
        "warmup_left_ms": 0,
        "free_capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0},
        "labels": ["a", "r1-1"], "machine": machine,
        "born": int(time.time() * 1000), "clock_ms": 1000, "seq": 1,
        "active": [], "finished": []}


def case(deployment):
    steps = [{"count": 4, "cpu": 500, "mem_mb": 256,
              "estimate_ms": TASK_SECONDS * 1000}]
    if not deployment.submit(JOB, steps):
        return COULD_NOT_RUN
    time.sleep(TRACKED_SECONDS)
    hosts = [worker for worker in deployment.workers() if worker.active]
    if not hosts or len(deployment.runs_of(JOB)) != 4:
        return COULD_NOT_RUN
    if TROUBLE:
        body = foreign_heartbeat(hosts[0].machine.name)
        for address in deployment.seeds:
            status, _, _ = call(address, "POST",
                                "/bamboostile/instances/x-71c0/heartbeat",
                                body)
            deployment.record.write(
                f"another writer: heartbeat of x-71c0, service "
                f"'{body['service']}', machine {body['machine']}, at "
                f"{address} -> {status}")
            if status == 200:
                break
    time.sleep(7)
    doubled = deployment.doubled_runs(JOB)
    for first, second, seconds in doubled:
        deployment.record.write(
            f"TWICE: {first.task} runs on {first.worker.id} as run "
            f"{first.number} and on {second.worker.id} as run "
            f"{second.number} at the same time, for {seconds:.1f} s")
    return BROKEN if doubled else HELD


run(HERE, lambda folder: Deployment(
    folder, seconds_of=lambda task, number: TASK_SECONDS), case)
