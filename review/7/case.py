"""Cuts off, one after the other, the worker that runs a healthy task.

No worker crashes and no run fails: each worker keeps its run until its lease
lapses and reports that once it is reachable again. Exit code 1 if the job is
shown as failed all the same.
"""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from deployment import Deployment, wait_until  # noqa: E402
from http_calls import call, operator_call  # noqa: E402
from workers import Platform, Record, Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 8
CUT_S = 5.5
MAX_CUTS = 9
WORK_S = 25.0
LIMIT_S = 100.0
QUEUE, HOST, JOB = "/bobo563/", "jepu9.example", "5c0e7a21d94b36f8"

CONFIG = {
    "version": 3,
    "routes": [{"name": "r-a", "host": HOST, "path_prefix": QUEUE,
                "type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 3000,
                "priority": 0, "service": "huvo11a", "max_attempts": 4,
                "stretch": 2.2}],
    "services": [{"name": "huvo11a", "health_path": "/healthz", "max_conns": 64,
                  "protocol": "h1", "tls": False, "enforces_capacity": True,
                  "standby": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}
SPEC = {"spec": "review", "steps": [
    {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": int(WORK_S * 1000)}]}


def client_call(deployment, record, method, body=None):
    for address in deployment.entry_addresses() * 2:
        status, data, _ = call(address, method, QUEUE + JOB, body,
                               {"Host": HOST, "Deadline-Ms": "3000"}, 3.0)
        if status in (200, 404, 410):
            return status, data
    return status, data


def job_state(deployment, record):
    status, data = client_call(deployment, record, "GET")
    return json.loads(data)["state"] if status == 200 else f"status {status}"


def runner(workers):
    """The worker that runs the task, has reported it and is reachable."""
    for worker in workers:
        runs = list(worker.runs.values())
        if runs and not worker.is_cut and time.monotonic() > runs[0].began + 1.0:
            return worker
    return None


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    workers = []
    platform = Platform(record, ("127.0.37.100", 0), workers)
    deployment = Deployment(37, platform.address())
    try:
        deployment.start()
        control = deployment.control_addresses()
        status, _ = operator_call(control, "POST", "/bamboostile/config/replace",
                                  json.dumps(CONFIG), tries=30)
        if status != 200:
            record.add("no configuration", status=status)
            return 2
        for i in range(WORKERS):
            workers.append(Worker(record, f"{i:04x}", "huvo11a", control,
                                  rack=f"r1-{i // 4}",
                                  work_s=lambda task, run, spec: WORK_S))
            workers[-1].start()
        time.sleep(2)
        status, _ = client_call(deployment, record, "POST", json.dumps(SPEC))
        record.add("job submitted", status=status)
        if status != 200:
            return 2
        accepted = time.monotonic()
        cuts = 0
        state = ""
        while time.monotonic() < accepted + LIMIT_S:
            state = job_state(deployment, record)
            record.add("job", state=state)
            if state in ("failed", "completed", "cancelled"):
                break
            target = runner(workers)
            if TROUBLE and target and cuts < MAX_CUTS:
                cuts += 1
                record.add("worker cut off", worker=target.worker, number=cuts)
                target.is_cut = True
                time.sleep(CUT_S)
                target.is_cut = False
                record.add("worker reachable", worker=target.worker)
            else:
                time.sleep(0.3)
        failed = [e for e in record.events
                  if e[1] == "end" and e[2]["how"] == "failed"]
        record.add("result", state=state, cuts=cuts, failedRuns=len(failed))
        if state == "failed" and not failed:
            return 1
        return 0 if TROUBLE or state == "completed" else 2
    finally:
        for worker in workers:
            worker.is_stopping = True
        deployment.stop()
        platform.stop()
        record.close()


sys.exit(main())
