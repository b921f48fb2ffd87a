"""Replaces two machines of the core by planned work, the successors first.

The successors come one after the other. The two machines get SIGTERM, one after
the other, when both successors have run for longer than `catchup_s`, so that by
DEPLOY.md none of them counts as lost. Every process is told of the new seeds by
SIGHUP. Exit code 1 if, after `recovery_s`, no node answers for what was
acknowledged.
"""

import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from deployment import Deployment  # noqa: E402
from http_calls import call, operator_call, read_config  # noqa: E402
from workers import Platform, Record, Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCHUP_S = 4.0
# Longer than the pages ask for.
WAIT_S = CATCHUP_S + 0.7
PAUSE_S = float(os.environ.get("PAUSE_S", 3.0))
GRACE_S = 6.0
RECOVERY_S = 12.0
ASK_FOR_S = 30.0
HOST, QUEUE, JOB = "jepu9.example", "/bobo563/", "5c0e7a21d94b36f8"

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
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000}]}


def ask(deployment, method, body=None):
    status, data = None, b""
    for address in deployment.entry_addresses():
        status, data, _ = call(address, method, QUEUE + JOB, body,
                               {"Host": HOST, "Deadline-Ms": "3000"}, 3.0)
        if status in (200, 404, 410):
            break
    return status, data


def leader_of(deployment):
    for machine in deployment.core():
        address = (machine.ip, deployment.ports["control"])
        if call(address, "GET", "/bamboostile/config/read")[0] == 200:
            return machine
    return None


def shut_down(machine):
    """SIGTERM, and SIGKILL after `grace_s` for what still runs."""
    for role in machine.roles:
        machine.signal(role, signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while time.monotonic() < end and any(
            p.poll() is None for p in machine.processes.values()):
        time.sleep(0.05)
    for role in machine.roles:
        machine.kill(role)


def add_successor(deployment, record, zone, roles):
    successor = deployment.add(zone, roles)
    deployment.hang_up(but=successor)
    record.add("machine added", machine=successor.ip)
    time.sleep(WAIT_S)


def take_away(deployment, record, machine):
    record.add("SIGTERM", machine=machine.ip)
    for role in machine.roles:
        machine.signal(role, signal.SIGTERM)
    deployment.remove(machine)
    deployment.hang_up()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    workers = []
    platform = Platform(record, ("127.0.34.200", 0), workers)
    deployment = Deployment(34, platform.address())
    try:
        deployment.start()
        status, _ = operator_call(deployment.control_addresses(), "POST",
                                  "/bamboostile/config/replace",
                                  json.dumps(CONFIG), tries=30)
        if status != 200:
            record.add("no configuration", status=status)
            return 2
        for i in range(3):
            workers.append(Worker(record, f"{i:04x}", "huvo11a",
                                  deployment.control_addresses()))
            workers[-1].start()
        time.sleep(6)
        status, _ = ask(deployment, "POST", json.dumps(SPEC))
        record.add("job submitted", status=status)
        if status != 200:
            return 2
        time.sleep(3)
        leader = leader_of(deployment)
        if leader is None:
            return 2
        record.add("leader", machine=leader.ip)
        if TROUBLE:
            first, second = [m for m in deployment.core() if m is not leader]
            for machine in (first, second):
                add_successor(deployment, record, machine.zone, machine.roles)
            take_away(deployment, record, first)
            time.sleep(PAUSE_S)
            take_away(deployment, record, second)
            for worker in workers:
                worker.control = deployment.control_addresses()
            for machine in (first, second):
                shut_down(machine)
        time.sleep(RECOVERY_S + CATCHUP_S)
        answered = {"configuration": 0, "job": 0}
        end = time.monotonic() + ASK_FOR_S
        asked = 0
        while time.monotonic() < end:
            asked += 1
            read = read_config(deployment.control_addresses(), tries=3,
                               deadline_s=3.0)
            status, data = ask(deployment, "GET")
            record.add("asked", configuration=read["version"] if read else None,
                       jobStatus=status, job=data.decode(errors="replace")[:60])
            answered["configuration"] += read is not None
            answered["job"] += status == 200
            if not TROUBLE and asked >= 5:
                break
            time.sleep(1.0)
        running = [m.ip for m in deployment.core()
                   if m.processes["control"].poll() is None]
        for machine in deployment.gone:
            record.add("gone", machine=machine.ip,
                       exits=[p.returncode for p in machine.processes.values()])
        record.add("result", asked=asked, answered=answered, running=running)
        return 0 if all(answered.values()) else 1
    finally:
        for worker in workers:
            worker.is_stopping = True
        deployment.stop()
        platform.stop()
        record.close()


sys.exit(main())
