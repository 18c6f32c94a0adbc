"""URLs of HTTP calls: hosts that are IP addresses, and paths below a service."""

from __future__ import annotations

import re
import urllib.parse

from ebonyhatch.ports import workers

PATH_SAFE = "/?&=%:@!$'()*+,;~-._"
"""Characters of a path and its query that are not quoted."""

DOT_SEGMENT = re.compile(r"(?:\.|%2e){1,2}", re.IGNORECASE)
"""A path segment that some servers resolve, which could lead out of the service's paths."""


def base_url(*, host: str, port: int) -> str:
    """Returns the start of a URL from an IP address and a port."""
    return f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"


def service_path(request: workers.ServiceRequest) -> str:
    """Returns the path of a forwarded request."""
    service = urllib.parse.quote(request.service, safe="")
    path = urllib.parse.quote(request.path.removeprefix("/"), safe=PATH_SAFE)
    return f"/service/{service}/{path}"


def leaves_service(request: workers.ServiceRequest) -> bool:
    """Returns whether a server could resolve the path to one outside the service."""
    segments = [request.service, *request.path.partition("?")[0].split("/")]
    return not request.service or any(DOT_SEGMENT.fullmatch(segment) for segment in segments)
