"""Stand-ins for the log, the backend servers and the callers around eelgrassmount."""

from __future__ import annotations
