"""HTTP/1.1 calls as the pages describe the operator and the clients."""

import http.client
import json
import time


def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """One call on a connection of its own; (None, error) without a response."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        sent = dict(headers or {})
        if body is not None:
            sent["Content-Type"] = "application/json"
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        data = response.read()
        return response.status, data, response.headers
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error).encode(), {}
    finally:
        connection.close()


def operator_call(addresses, method, path, body=None, tries=8, timeout_s=2.0,
                  deadline_s=20.0, first=0):
    """Follows a 307 twice and moves on to another node with growing backoff."""
    end = time.monotonic() + deadline_s
    pause = 0.1
    status, data = None, b""
    for attempt in range(tries):
        target = addresses[(first + attempt) % len(addresses)]
        where = path
        for _ in range(3):
            status, data, headers = call(target, method, where, body,
                                         timeout_s=timeout_s)
            location = headers.get("Location") if headers else None
            if status != 307 or not location:
                break
            host, _, rest = location[len("http://"):].partition("/")
            name, _, port = host.partition(":")
            target, where = (name, int(port)), "/" + rest
        if status in (200, 400, 409, 412, 413, 422):
            return status, data
        if time.monotonic() + pause > end:
            break
        time.sleep(pause)
        pause = min(pause * 1.6, 1.5)
    return status, data


def read_config(addresses, tries=8, deadline_s=10.0, first=0):
    status, data = operator_call(addresses, "GET", "/bamboostile/config/read",
                                 tries=tries, deadline_s=deadline_s, first=first)
    if status != 200:
        return None
    return json.loads(data)
