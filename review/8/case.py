"""Submits some jobs of many tasks at once, all of which are accepted.

A stand-in for the machines kills a control process whose resident memory
exceeds `memory_mb` and starts it again, as DEPLOY.md says. Exit code 1 if on
half of the core a process ends three times.
"""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from deployment import Deployment, wait_until  # noqa: E402
from http_calls import call, operator_call  # noqa: E402
from machines import MemoryGuard  # noqa: E402
from workers import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 30
STEPS = 10
TASKS = 10000 if TROUBLE else 8
GAP_S = 0.3
WATCH_S = 30.0
MOST_ENDS = 3
HOST, QUEUE = "jepu9.example", "/bobo563/"

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


def client_call(deployment, method, job, body=None):
    status, data = None, b""
    for address in deployment.entry_addresses():
        status, data, _ = call(address, method, QUEUE + job, body,
                               {"Host": HOST, "Deadline-Ms": "3000"}, 3.0)
        if status in (200, 404, 410, 429, 503):
            break
    return status, data


def ends_often(guard):
    """Whether on half of the core a process has ended three times."""
    often = sum(kills >= MOST_ENDS for kills in guard.kills.values())
    return 2 * often >= len(guard.kills)


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(38, "127.0.38.100:9")
    guard = MemoryGuard(deployment, record)
    try:
        deployment.start()
        guard.start()
        status, _ = operator_call(deployment.control_addresses(), "POST",
                                  "/bamboostile/config/replace",
                                  json.dumps(CONFIG), tries=30)
        if status != 200:
            record.add("no configuration", status=status)
            return 2
        body = json.dumps({"spec": "review", "steps": [
            {"count": TASKS, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}
            for _ in range(STEPS)]})
        accepted = []
        for number in range(JOBS):
            job = f"{0x5c0e7a2100000000 + number:016x}"
            status, _ = client_call(deployment, "POST", job, body)
            record.add("job submitted", job=job, status=status, bytes=len(body),
                       memoryMb=[round(m.resident_mb("control"))
                                 for m in deployment.core()])
            if status == 200:
                accepted.append(job)
            if any(guard.kills.values()):
                break
            time.sleep(GAP_S)
        wait_until(lambda: ends_often(guard), WATCH_S)
        unanswered = []
        for job in accepted[:3]:
            status, data = client_call(deployment, "GET", job)
            record.add("job asked for", job=job, status=status,
                       body=data[:60].decode(errors="replace"))
            if status != 200:
                unanswered.append(job)
        guard.is_stopping = True
        guard.join(timeout=3)
        record.add("result", accepted=len(accepted), unanswered=len(unanswered),
                   killsForMemory=list(guard.kills.values()),
                   mostMb=round(guard.most_mb))
        if not accepted:
            return 2
        return 1 if ends_often(guard) else 0
    finally:
        guard.is_stopping = True
        deployment.stop()
        record.close()


sys.exit(main())
