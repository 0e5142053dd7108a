"""Stand-ins for the world around eelgrassmount: log, backend servers, callers."""

from __future__ import annotations
